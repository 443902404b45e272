package assess

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
)

// ErrMatrix means that a document names a test that did not run.
var ErrMatrix = errors.New("the document names tests that did not run")

// testName matches a package and a test such as dedup.TestOnceUnderFaults.
var testName = regexp.MustCompile(`[a-z]+\.(?:Test|Fuzz)[A-Za-z0-9_]+`)

// Match checks that every test named in the document is listed in ranFile, one
// test a line. It prints the missing ones and the counts to out.
func Match(out io.Writer, doc, ranFile string) error {
	text, err := os.ReadFile(doc)
	if err != nil {
		return err
	}
	ran, err := os.ReadFile(ranFile)
	if err != nil {
		return err
	}
	hasRun := make(map[string]bool)
	for line := range strings.Lines(string(ran)) {
		hasRun[shortName(strings.TrimSpace(line))] = true
	}
	missing, found := 0, make(map[string]bool)
	for _, n := range testName.FindAllString(string(text), -1) {
		if !hasRun[n] && !found[n] {
			missing++
			_, _ = fmt.Fprintf(out, "matrix=missing test=%s\n", n)
		}
		found[n] = true
	}
	_, _ = fmt.Fprintf(out, "matrix=read tests=%d missing=%d\n", len(found), missing)
	if missing > 0 {
		return ErrMatrix
	}
	return nil
}

// shortName returns the last element of the package path with the test name.
func shortName(name string) string { return name[strings.LastIndex(name, "/")+1:] }
