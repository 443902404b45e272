// Package config reads the settings of a program from an INI file.
//
// # Keys
//
// A program declares its keys: each has a section, a name, a value type, a default and
// bounds. A key without a default is required. Values carry their units, such as 250ms
// or 64MiB.
//
// # Errors
//
// Read returns all errors of a file, each with section and key. Unknown sections and
// keys are errors.
package config

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// KeyError is one error in a settings file.
type KeyError struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// String returns the error as one line of key=value pairs.
func (e KeyError) String() string {
	return fmt.Sprintf("file=%s section=%q key=%q reason=%q", e.File, e.Section, e.Key, e.Reason)
}

// SettingsError holds all errors of a settings file.
type SettingsError struct {
	// Errors is never empty.
	Errors []KeyError
}

// Error implements error.
func (e *SettingsError) Error() string {
	lines := make([]string, len(e.Errors))
	for i, k := range e.Errors {
		lines[i] = k.String()
	}
	return strings.Join(lines, "\n")
}

// Key declares one setting of a program.
type Key struct {
	Section string
	Name    string
	// Default is the text of the value if the file doesn't set the key. A key with an
	// empty default is required.
	Default string
	// Set parses the text, checks the bounds and stores the value.
	Set func(text string) error
}

// Read applies the settings file to the keys. The error is a *SettingsError.
func Read(file string, keys []Key) error {
	f, err := ini.LoadSources(ini.LoadOptions{Insensitive: false, AllowShadows: true}, file)
	if err != nil {
		return &SettingsError{Errors: []KeyError{{File: file, Reason: err.Error()}}}
	}
	r := reader{file: file, source: f, known: make(map[string]map[string]bool)}
	for _, k := range keys {
		r.apply(k)
	}
	r.findUnknown()
	if len(r.errors) > 0 {
		return &SettingsError{Errors: r.errors}
	}
	return nil
}

type reader struct {
	file   string
	source *ini.File
	known  map[string]map[string]bool
	errors []KeyError
}

func (r *reader) apply(k Key) {
	if r.known[k.Section] == nil {
		r.known[k.Section] = make(map[string]bool)
	}
	r.known[k.Section][k.Name] = true
	text, ok := r.value(k)
	if !ok {
		r.addError(k.Section, k.Name, "must be set")
		return
	}
	if err := k.Set(text); err != nil {
		r.addError(k.Section, k.Name, err.Error())
	}
}

func (r *reader) value(k Key) (string, bool) {
	s, err := r.source.GetSection(k.Section)
	if err != nil || !s.HasKey(k.Name) {
		return k.Default, k.Default != ""
	}
	values := s.Key(k.Name).ValueWithShadows()
	if len(values) > 1 {
		r.addError(k.Section, k.Name, "is set twice")
	}
	return s.Key(k.Name).String(), true
}

func (r *reader) findUnknown() {
	for _, s := range r.source.Sections() {
		if r.known[s.Name()] == nil && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			r.addError(s.Name(), "", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !r.known[s.Name()][k.Name()] {
				r.addError(s.Name(), k.Name(), "unknown key")
			}
		}
	}
}

func (r *reader) addError(section, key, reason string) {
	r.errors = append(r.errors, KeyError{File: r.file, Section: section, Key: key, Reason: reason})
}
