package tables

import (
	"fmt"
	"strings"
	"time"
)

const (
	defaultTimeout = 30 * time.Second
	maxTimeout     = time.Hour
	maxNameLength  = 64
)

// RowError is one validation error of a table.
type RowError struct {
	Table Kind
	// Row is the name of the row, or its position, such as #2, where it has no
	// name. Row and Field are empty for an error of the whole table.
	Row    string
	Field  string
	Reason string
}

// String returns the error as one line of text.
func (e RowError) String() string {
	return fmt.Sprintf("table=%s row=%q field=%q reason=%q", e.Table, e.Row, e.Field, e.Reason)
}

// RefusedError says why a revision did not become active.
type RefusedError struct {
	Table    Kind
	Revision Revision
	// RowErrors is never empty.
	RowErrors []RowError
}

// Error implements error.
func (e *RefusedError) Error() string {
	lines := make([]string, len(e.RowErrors))
	for i, r := range e.RowErrors {
		lines[i] = r.String()
	}
	return fmt.Sprintf("table %s revision %d refused: %s", e.Table, e.Revision, strings.Join(lines, "; "))
}

// checker collects the validation errors of one row.
type checker struct {
	table     Kind
	row       string
	rowErrors []RowError
}

func (c *checker) check(ok bool, field, reason string) {
	if !ok {
		c.rowErrors = append(c.rowErrors, RowError{Table: c.table, Row: c.row, Field: field, Reason: reason})
	}
}

// duplicateRows returns an error for each row whose name an earlier row has.
func duplicateRows[R Row](kind Kind, rows []R) []RowError {
	var duplicates []RowError
	seen := make(map[string]bool, len(rows))
	for _, r := range rows {
		if seen[r.RowName()] {
			duplicates = append(duplicates, RowError{Table: kind, Row: r.RowName(), Field: "name", Reason: "stands twice"})
		}
		seen[r.RowName()] = true
	}
	return duplicates
}

func isValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		if !isNameRune(r) {
			return false
		}
	}
	return true
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '.' || r == '-' || r == '_'
}
