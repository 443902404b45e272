package tables_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"currantport.example/core/tables"
)

// updater applies one value to the active tables.
type updater struct {
	active *tables.Active
	kind   tables.Kind
	data   []byte
}

func (u *updater) run() { _, _ = u.active.Apply(u.kind, tables.Value{Revision: 1, Data: u.data}) }

// Concurrent updates of the two tables must not overwrite each other. The large routes
// table makes decoding slow enough for the updates to overlap.
func TestConcurrentUpdatesOfBothTables(t *testing.T) {
	var rows []string
	for i := range 2000 {
		rows = append(rows, fmt.Sprintf(`{"name":"r%d","pool":"p"}`, i))
	}
	routes := []byte(`{"routes":[` + strings.Join(rows, ",") + `]}`)
	pools := []byte(`{"pools":[{"name":"p","kind":"service","hosts":["a"]}]}`)
	for range 50 {
		active := &tables.Active{}
		var group sync.WaitGroup
		group.Go((&updater{active: active, kind: tables.KindRoutes, data: routes}).run)
		group.Go((&updater{active: active, kind: tables.KindPools, data: pools}).run)
		group.Wait()
		if active.Revision(tables.KindRoutes) != 1 || active.Revision(tables.KindPools) != 1 {
			t.Fatalf("active: routes revision %d, pools revision %d", active.Revision(tables.KindRoutes), active.Revision(tables.KindPools))
		}
	}
}
