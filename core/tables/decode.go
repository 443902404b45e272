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

// decodeTable decodes the rows of a table. Rows that can't be decoded are left out
// of the documents; each of their errors names the row and the field.
func decodeTable[D any](kind Kind, data []byte) ([]D, []RowError) {
	if len(data) > MaxValueBytes {
		return nil, []RowError{{Table: kind, Reason: "the value is longer than 1 MiB"}}
	}
	raw, err := decodeRows(kind, data)
	if err != nil {
		return nil, []RowError{{Table: kind, Reason: err.Error()}}
	}
	var rowErrors []RowError
	documents := make([]D, 0, len(raw))
	for i, r := range raw {
		var d D
		errs := decodeRow(kind, i, r, &d)
		if len(errs) == 0 {
			documents = append(documents, d)
		}
		rowErrors = append(rowErrors, errs...)
	}
	return documents, rowErrors
}

// decodeRows reads the only field of a table document, which is named after the
// kind of the table.
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

// decodeRow decodes a row field by field, so that one error doesn't hide those of
// the other fields.
func decodeRow(kind Kind, index int, data json.RawMessage, document any) []RowError {
	c := checker{table: kind, row: fmt.Sprintf("#%d", index+1)}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil || fields == nil {
		c.check(false, "", "must be an object")
		return c.rowErrors
	}
	var name string
	if json.Unmarshal(fields["name"], &name) == nil && name != "" {
		c.row = name
	}
	targets := fieldPointers(document)
	for _, f := range sortedKeys(fields) {
		target, ok := targets[f]
		c.check(ok, f, "isn't a field of the table")
		if !ok {
			continue
		}
		err := decodeField(fields[f], target)
		c.check(err == nil, f, decodeErrorReason(err))
	}
	return c.rowErrors
}

func decodeField(data json.RawMessage, target any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(target)
}

// fieldPointers returns a pointer to each field of a document, keyed by JSON name.
func fieldPointers(document any) map[string]any {
	v := reflect.ValueOf(document).Elem()
	targets := make(map[string]any, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		targets[name] = v.Field(i).Addr().Interface()
	}
	return targets
}

// decodeErrorReason returns the text of a decoding error as a reason of a RowError.
func decodeErrorReason(err error) string {
	var typeError *json.UnmarshalTypeError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &typeError):
		return fmt.Sprintf("must be of type %s, not %s", typeError.Type, typeError.Value)
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
