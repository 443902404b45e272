package tables_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/tables"
)

func TestRowErrorsNameRowAndField(t *testing.T) {
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
		var rowErrors []tables.RowError
		if c.kind == tables.KindRoutes {
			_, rowErrors = tables.DecodeRoutes([]byte(c.data))
		} else {
			_, rowErrors = tables.DecodePools([]byte(c.data))
		}
		var got []string
		for _, f := range rowErrors {
			got = append(got, f.Row+"/"+f.Field)
		}
		if d := cmp.Diff(c.want, got); d != "" {
			t.Errorf("row errors of %.60s: %s", c.data, d)
		}
	}
}

// A value close to the maximum size is applied as a whole; a truncated one of a newer
// revision is refused as a whole.
func TestLargeValueIsApplied(t *testing.T) {
	var rows []string
	for i := range 11000 {
		rows = append(rows, fmt.Sprintf(`{"name":"route-%05d","pool":"pool-%05d","idempotent":true,"timeout":"30s"}`, i, i))
	}
	data := []byte(`{"routes":[` + strings.Join(rows, ",") + `]}`)
	if len(data) < tables.MaxValueBytes*3/4 || len(data) > tables.MaxValueBytes {
		t.Fatalf("value of %d bytes, want between 3/4 and all of the maximum", len(data))
	}
	active := &tables.Active{}
	if changed, err := active.Apply(tables.KindRoutes, tables.Value{Revision: 3, Data: data}); !changed || err != nil {
		t.Errorf("changed %t, error %v", changed, err)
	}
	if changed, err := active.Apply(tables.KindRoutes, tables.Value{Revision: 4, Data: data[:len(data)/2]}); changed || err == nil {
		t.Errorf("truncated value: changed %t, error %v", changed, err)
	}
	if n := len(active.Snapshot().Routes.Rows); n != 11000 || active.Revision(tables.KindRoutes) != 3 {
		t.Errorf("active: revision %d with %d rows", active.Revision(tables.KindRoutes), n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"routes":[{"name":"a","pool":"p","timeout":"1s","limits":[{"workspace":"w","running":2}]}]}`))
	f.Add([]byte(`{"pools":[{"name":"p","kind":"service","hosts":["b","a"],"ready":0.5}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if rows, rowErrors := tables.DecodeRoutes(data); len(rowErrors) == 0 {
			first, err := tables.EncodeRoutes(rows)
			decoded, rowErrors := tables.DecodeRoutes(first)
			second, _ := tables.EncodeRoutes(decoded)
			if err != nil || len(rowErrors) > 0 || !bytes.Equal(first, second) {
				t.Errorf("routes differ after a round trip: error %v, row errors %v", err, rowErrors)
			}
		}
		if rows, rowErrors := tables.DecodePools(data); len(rowErrors) == 0 {
			first, err := tables.EncodePools(rows)
			decoded, rowErrors := tables.DecodePools(first)
			second, _ := tables.EncodePools(decoded)
			if err != nil || len(rowErrors) > 0 || !bytes.Equal(first, second) {
				t.Errorf("pools differ after a round trip: error %v, row errors %v", err, rowErrors)
			}
		}
	})
}
