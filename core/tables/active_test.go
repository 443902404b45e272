package tables_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"currantport.example/core/tables"
)

// offerer offers one table to the tables in force.
type offerer struct {
	force *tables.Active
	kind  tables.Kind
	data  []byte
}

func (o *offerer) run() { _, _ = o.force.Apply(o.kind, tables.Value{Revision: 1, Data: o.data}) }

func TestTablesThatChangeAtOnceBothComeIntoForce(t *testing.T) {
	var rows []string
	for i := range 2000 {
		rows = append(rows, fmt.Sprintf(`{"name":"r%d","pool":"p"}`, i))
	}
	routes := []byte(`{"routes":[` + strings.Join(rows, ",") + `]}`)
	pools := []byte(`{"pools":[{"name":"p","kind":"service","hosts":["a"]}]}`)
	for range 50 {
		f := &tables.Active{}
		var group sync.WaitGroup
		group.Go((&offerer{force: f, kind: tables.KindRoutes, data: routes}).run)
		group.Go((&offerer{force: f, kind: tables.KindPools, data: pools}).run)
		group.Wait()
		if f.Revision(tables.KindRoutes) != 1 || f.Revision(tables.KindPools) != 1 {
			t.Fatalf("in force: routes %d, pools %d", f.Revision(tables.KindRoutes), f.Revision(tables.KindPools))
		}
	}
}
