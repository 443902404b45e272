// Package assess evaluates the output of go test -json.
//
// A run passes if every package builds and every test passes, except for the
// tests in the file of known failures. These are printed with the symptom that
// the file records.
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

// ErrFailed means that a package didn't build, that a test failed that isn't a
// known failure, or that no test passed.
var ErrFailed = errors.New("tests failed")

const maxLineBytes = 16 << 20

// event is one line of the output of go test -json.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// KnownFailure is one entry of the file of known failures.
type KnownFailure struct {
	// Test is a package path and the name of a test, joined by a dot.
	Test string
	// Seen is the symptom.
	Seen string
}

// Evaluate reads the output of go test -json, prints the failures and the counts
// to out, and writes the names of the tests that ran to ranFile unless that is
// empty. A missing redFile means that there are no known failures.
func Evaluate(in io.Reader, out io.Writer, redFile, ranFile string) error {
	known, err := readKnown(redFile)
	if err != nil {
		return err
	}
	ev := evaluation{known: known, outputs: make(map[string][]string), ran: make(map[string]bool)}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			ev.handle(e)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	ev.printResult(out)
	if ranFile != "" {
		if err := ev.writeRan(ranFile); err != nil {
			return err
		}
	}
	if len(ev.failed) > 0 || ev.passed == 0 {
		return ErrFailed
	}
	return nil
}

type evaluation struct {
	known   []KnownFailure
	outputs map[string][]string
	// ran holds the top-level tests that passed or are known failures.
	ran         map[string]bool
	passed      int
	failed      []string
	knownFailed []KnownFailure
}

func (ev *evaluation) handle(e event) {
	name := nameOf(e)
	switch e.Action {
	case "output", "build-output":
		ev.outputs[name] = append(ev.outputs[name], e.Output)
	case "pass":
		ev.recordPass(e, name)
	case "fail", "build-fail":
		ev.recordFailure(e, name)
	}
}

func (ev *evaluation) recordPass(e event, name string) {
	delete(ev.outputs, name)
	if e.Test == "" {
		return
	}
	ev.passed++
	if !strings.Contains(e.Test, "/") {
		ev.ran[name] = true
	}
}

func (ev *evaluation) recordFailure(e event, name string) {
	if k, ok := ev.findKnown(name); ok {
		if k.Test == name {
			ev.knownFailed = append(ev.knownFailed, k)
			ev.ran[name] = true
		}
		return
	}
	if e.Test == "" && ev.failedOnlyAsKnown(name) {
		return
	}
	ev.failed = append(ev.failed, name)
}

// findKnown returns the known failure that covers a test or its parent test.
func (ev *evaluation) findKnown(name string) (KnownFailure, bool) {
	for _, k := range ev.known {
		if name == k.Test || strings.HasPrefix(name, k.Test+"/") {
			return k, true
		}
	}
	return KnownFailure{}, false
}

// endLine is what a test binary prints after its last test, unless all passed. One
// that panics or times out prints it not, and may have left tests out.
const endLine = "FAIL\n"

// failedOnlyAsKnown reports whether a package ran all of its tests and those that
// failed are known failures.
func (ev *evaluation) failedOnlyAsKnown(pkg string) bool {
	if !slices.Contains(ev.outputs[pkg], endLine) {
		return false
	}
	hasKnown := slices.ContainsFunc(ev.knownFailed, func(k KnownFailure) bool { return strings.HasPrefix(k.Test, pkg+".") })
	hasOther := slices.ContainsFunc(ev.failed, func(n string) bool { return strings.HasPrefix(n, pkg+".") })
	return hasKnown && !hasOther
}

func (ev *evaluation) printResult(out io.Writer) {
	for _, n := range ev.failed {
		_, _ = fmt.Fprintf(out, "test=failed name=%s\n%s", n, strings.Join(ev.outputs[n], ""))
	}
	for _, k := range ev.knownFailed {
		_, _ = fmt.Fprintf(out, "test=known-red name=%s seen=%q\n", k.Test, k.Seen)
	}
	_, _ = fmt.Fprintf(out, "%d passed, %d failed\n", ev.passed, len(ev.failed)+len(ev.knownFailed))
}

func (ev *evaluation) writeRan(file string) error {
	names := make([]string, 0, len(ev.ran))
	for n := range ev.ran {
		names = append(names, n)
	}
	slices.Sort(names)
	return os.WriteFile(file, []byte(strings.Join(names, "\n")+"\n"), 0o600)
}

func nameOf(e event) string {
	pkg := e.Package
	if pkg == "" {
		pkg = e.ImportPath
	}
	if e.Test == "" {
		return pkg
	}
	return pkg + "." + e.Test
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
