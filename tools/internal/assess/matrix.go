package assess

import (
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
)

// ErrMatrix tells that a document names a test that did not run.
var ErrMatrix = errors.New("the document names tests that did not run")

// testName matches a package and a test such as links.TestSilence.
var testName = regexp.MustCompile(`[a-z]+\.(?:Test|Fuzz)[A-Za-z0-9_]+`)

// Match checks that every test that the document names is in the file of tests
// that ran, and prints how many there are.
func Match(out io.Writer, doc, ranFile string) error {
	text, err := os.ReadFile(doc)
	if err != nil {
		return err
	}
	ran, err := os.ReadFile(ranFile)
	if err != nil {
		return err
	}
	known := make(map[string]bool)
	for line := range strings.Lines(string(ran)) {
		known[shortName(strings.TrimSpace(line))] = true
	}
	missing, found := 0, make(map[string]bool)
	for _, n := range testName.FindAllString(string(text), -1) {
		if !known[n] && !found[n] {
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

// shortName cuts a name down to the last part of its package and the test.
func shortName(name string) string { return name[strings.LastIndex(name, "/")+1:] }
