// Package assess judges the output of the test command.
//
// A run is good if every package was built and every test passed, but for those
// that the file of known faults names. These are printed with what was seen.
package assess

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// ErrFailed tells that a test outside the known faults failed.
var ErrFailed = errors.New("tests failed")

const maxLine = 16 << 20

// event is one line of the output of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// KnownFailure is one entry of the file of known faults.
type KnownFailure struct {
	// Test is a package path and the name of a test, joined by a dot.
	Test string
	Seen string
}

// Evaluate reads the output of go test -json, prints what failed and the counts,
// and writes the names of the tests that ran to a file, if one is given.
func Evaluate(in io.Reader, out io.Writer, redFile, ranFile string) error {
	known, err := readKnown(redFile)
	if err != nil {
		return err
	}
	j := judge{known: known, outputs: make(map[string][]string), ran: make(map[string]bool)}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			j.take(e)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	j.print(out)
	if ranFile != "" {
		if err := j.writeRan(ranFile); err != nil {
			return err
		}
	}
	if len(j.failed) > 0 || j.passed == 0 {
		return ErrFailed
	}
	return nil
}

type judge struct {
	known   []KnownFailure
	outputs map[string][]string
	// ran holds the top-level tests that passed or are known faults.
	ran    map[string]bool
	passed int
	failed []string
	red    []KnownFailure
}

func (j *judge) take(e event) {
	name := nameOf(e)
	switch e.Action {
	case "output", "build-output":
		j.outputs[name] = append(j.outputs[name], e.Output)
	case "pass":
		j.pass(e, name)
	case "fail", "build-fail":
		j.fail(e, name)
	}
}

func (j *judge) pass(e event, name string) {
	delete(j.outputs, name)
	if e.Test == "" {
		return
	}
	j.passed++
	if !strings.Contains(e.Test, "/") {
		j.ran[name] = true
	}
}

func (j *judge) fail(e event, name string) {
	if k, ok := j.find(name); ok {
		if k.Test == name {
			j.red = append(j.red, k)
			j.ran[name] = true
		}
		return
	}
	if e.Test == "" && j.hasKnown(name) {
		return
	}
	j.failed = append(j.failed, name)
}

// find returns the known fault that a test or one of its sub-tests belongs to.
func (j *judge) find(name string) (KnownFailure, bool) {
	for _, k := range j.known {
		if name == k.Test || strings.HasPrefix(name, k.Test+"/") {
			return k, true
		}
	}
	return KnownFailure{}, false
}

// hasKnown reports whether a package failed for known faults only.
func (j *judge) hasKnown(pack string) bool {
	red := slices.ContainsFunc(j.red, func(k KnownFailure) bool { return strings.HasPrefix(k.Test, pack+".") })
	other := slices.ContainsFunc(j.failed, func(n string) bool { return strings.HasPrefix(n, pack+".") })
	return red && !other
}

func (j *judge) print(out io.Writer) {
	for _, n := range j.failed {
		_, _ = fmt.Fprintf(out, "test=failed name=%s\n%s", n, strings.Join(j.outputs[n], ""))
	}
	for _, k := range j.red {
		_, _ = fmt.Fprintf(out, "test=known-red name=%s seen=%q\n", k.Test, k.Seen)
	}
	_, _ = fmt.Fprintf(out, "%d passed, %d failed\n", j.passed, len(j.failed)+len(j.red))
}

func (j *judge) writeRan(file string) error {
	names := make([]string, 0, len(j.ran))
	for n := range j.ran {
		names = append(names, n)
	}
	slices.Sort(names)
	return os.WriteFile(file, []byte(strings.Join(names, "\n")+"\n"), 0o600)
}

func nameOf(e event) string {
	pack := e.Package
	if pack == "" {
		pack = e.ImportPath
	}
	if e.Test == "" {
		return pack
	}
	return pack + "." + e.Test
}

func readKnown(file string) ([]KnownFailure, error) {
	data, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var all []KnownFailure
	for line := range strings.Lines(string(data)) {
		if test, ok := strings.CutPrefix(line, "test: "); ok {
			all = append(all, KnownFailure{Test: strings.TrimSpace(test)})
		}
		if seen, ok := strings.CutPrefix(line, "seen: "); ok && len(all) > 0 {
			all[len(all)-1].Seen = strings.TrimSpace(seen)
		}
	}
	return all, nil
}
