package tables

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// decodeTable reads the documents of a table. A document with a fault of form
// isn't returned; each of its faults names the row and the field.
func decodeTable[D any](kind Kind, data []byte) ([]D, []RowError) {
	if len(data) > MaxValueBytes {
		return nil, []RowError{{Table: kind, Reason: "the value is longer than 1 MiB"}}
	}
	raw, err := decodeRows(kind, data)
	if err != nil {
		return nil, []RowError{{Table: kind, Reason: err.Error()}}
	}
	var faults []RowError
	documents := make([]D, 0, len(raw))
	for i, r := range raw {
		var d D
		f := decodeRow(kind, i, r, &d)
		if len(f) == 0 {
			documents = append(documents, d)
		}
		faults = append(faults, f...)
	}
	return documents, faults
}

// decodeRows reads the only field of a table, which is named after its kind.
func decodeRows(kind Kind, data []byte) ([]json.RawMessage, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	var table map[string][]json.RawMessage
	if err := d.Decode(&table); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("data follows the table")
	}
	rows, ok := table[string(kind)]
	if !ok || len(table) != 1 {
		return nil, fmt.Errorf("the table must have the one field %s", kind)
	}
	return rows, nil
}

func decodeRow(kind Kind, at int, data json.RawMessage, into any) []RowError {
	c := checker{table: kind, row: fmt.Sprintf("#%d", at+1)}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields == nil {
		c.require(false, "", "must be an object")
		return c.faults
	}
	var name string
	if json.Unmarshal(fields["name"], &name) == nil && name != "" {
		c.row = name
	}
	targets := targetsOf(into)
	for _, f := range sortedKeys(fields) {
		target, ok := targets[f]
		c.require(ok, f, "isn't a field of the table")
		if !ok {
			continue
		}
		err := decodeField(fields[f], target)
		c.require(err == nil, f, reasonOf(err))
	}
	return c.faults
}

func decodeField(data json.RawMessage, target any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(target)
}

// targetsOf returns a pointer to each field of a document by its name.
func targetsOf(document any) map[string]any {
	v := reflect.ValueOf(document).Elem()
	targets := make(map[string]any, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		targets[name] = v.Field(i).Addr().Interface()
	}
	return targets
}

func reasonOf(err error) string {
	var wrong *json.UnmarshalTypeError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &wrong):
		return fmt.Sprintf("must be of type %s, not %s", wrong.Type, wrong.Value)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
