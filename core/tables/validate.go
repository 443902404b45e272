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

// RowError names one thing that is wrong with a table.
type RowError struct {
	Table  Kind
	Row    string
	Field  string
	Reason string
}

// String returns the fault as one line of text.
func (f RowError) String() string {
	return fmt.Sprintf("table=%s row=%q field=%q reason=%q", f.Table, f.Row, f.Field, f.Reason)
}

// RefusedError tells why a revision did not come into force.
type RefusedError struct {
	Table    Kind
	Revision Revision
	// RowErrors is never empty.
	RowErrors []RowError
}

// Error implements error.
func (e *RefusedError) Error() string {
	lines := make([]string, len(e.RowErrors))
	for i, f := range e.RowErrors {
		lines[i] = f.String()
	}
	return fmt.Sprintf("table %s revision %d refused: %s", e.Table, e.Revision, strings.Join(lines, "; "))
}

type checker struct {
	table  Kind
	row    string
	faults []RowError
}

func (c *checker) require(ok bool, field, reason string) {
	if !ok {
		c.faults = append(c.faults, RowError{Table: c.table, Row: c.row, Field: field, Reason: reason})
	}
}

func repeated[R Row](kind Kind, rows []R) []RowError {
	var faults []RowError
	seen := make(map[string]bool, len(rows))
	for _, r := range rows {
		if seen[r.RowName()] {
			faults = append(faults, RowError{Table: kind, Row: r.RowName(), Field: "name", Reason: "stands twice"})
		}
		seen[r.RowName()] = true
	}
	return faults
}

func validName(name string) bool {
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
