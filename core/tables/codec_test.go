package tables_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/tables"
)

func TestFaultsNameRowAndField(t *testing.T) {
	cases := []struct {
		kind tables.Kind
		data string
		want []string
	}{
		{tables.KindRoutes, `{"routes":[{"name":"a","pool":7,"timeout":"soon","odd":1},{"pool":"","idempotent":"yes"}]}`, []string{"a/odd", "a/pool", "#2/idempotent"}},
		{tables.KindRoutes, `{"routes":[{"name":"a","pool":"","timeout":"2h","limits":[{"workspace":"","running":0}]}]}`, []string{"a/pool", "a/timeout", "a/limits", "a/limits"}},
		{tables.KindRoutes, `{"routes":[{"name":"a","pool":"p"},{"name":"a","pool":"p"}]}`, []string{"a/name"}},
		{tables.KindRoutes, `{"routes":[null]}`, []string{"#1/"}},
		{tables.KindRoutes, `{"pools":[]}`, []string{"/"}},
		{tables.KindRoutes, `{"routes":[]} {}`, []string{"/"}},
		{tables.KindPools, `{"pools":[{"name":"p","kind":"other","hosts":["a","a"],"ready":2}]}`, []string{"p/kind", "p/ready", "p/hosts"}},
		{tables.KindPools, `{"pools":[{"name":"p","kind":"model","manifest":"zz","hosts":["a",3]}]}`, []string{"p/hosts"}},
		{tables.KindPools, strings.Repeat(" ", tables.MaxValueBytes) + `{"pools":[]}`, []string{"/"}},
	}
	for _, c := range cases {
		var faults []tables.RowError
		if c.kind == tables.KindRoutes {
			_, faults = tables.DecodeRoutes([]byte(c.data))
		} else {
			_, faults = tables.DecodePools([]byte(c.data))
		}
		var got []string
		for _, f := range faults {
			got = append(got, f.Row+"/"+f.Field)
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("faults of %.60s: %s", c.data, d)
		}
	}
}

func TestValueNearAMebibyteIsWhole(t *testing.T) {
	var rows []string
	for i := range 11000 {
		rows = append(rows, fmt.Sprintf(`{"name":"route-%05d","pool":"pool-%05d","idempotent":true,"timeout":"30s"}`, i, i))
	}
	data := []byte(`{"routes":[` + strings.Join(rows, ",") + `]}`)
	if len(data) < tables.MaxValueBytes*3/4 || len(data) > tables.MaxValueBytes {
		t.Fatalf("the value has %d bytes", len(data))
	}
	f := &tables.Active{}
	if changed, err := f.Apply(tables.KindRoutes, tables.Value{Revision: 3, Data: data}); !changed || err != nil {
		t.Errorf("changed %t, error %v", changed, err)
	}
	if changed, err := f.Apply(tables.KindRoutes, tables.Value{Revision: 4, Data: data[:len(data)/2]}); changed || err == nil {
		t.Errorf("half a value: changed %t, error %v", changed, err)
	}
	if n := len(f.Snapshot().Routes.Rows); n != 11000 || f.Revision(tables.KindRoutes) != 3 {
		t.Errorf("in force: revision %d with %d rows", f.Revision(tables.KindRoutes), n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"routes":[{"name":"a","pool":"p","timeout":"1s","limits":[{"workspace":"w","running":2}]}]}`))
	f.Add([]byte(`{"pools":[{"name":"p","kind":"service","hosts":["b","a"],"ready":0.5}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if rows, faults := tables.DecodeRoutes(data); len(faults) == 0 {
			first, err := tables.EncodeRoutes(rows)
			again, faults := tables.DecodeRoutes(first)
			second, _ := tables.EncodeRoutes(again)
			if err != nil || len(faults) > 0 || !bytes.Equal(first, second) {
				t.Errorf("routes don't come back: error %v, faults %v", err, faults)
			}
		}
		if rows, faults := tables.DecodePools(data); len(faults) == 0 {
			first, err := tables.EncodePools(rows)
			again, faults := tables.DecodePools(first)
			second, _ := tables.EncodePools(again)
			if err != nil || len(faults) > 0 || !bytes.Equal(first, second) {
				t.Errorf("pools don't come back: error %v, faults %v", err, faults)
			}
		}
	})
}
