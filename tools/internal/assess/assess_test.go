package assess_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"currantport.example/tools/internal/assess"
)

const (
	passLine    = `{"Action":"pass","Package":"a/links","Test":"TestGood"}`
	failLine    = `{"Action":"fail","Package":"a/links","Test":"TestBad"}`
	failPackage = `{"Action":"fail","Package":"a/links"}`
	endLine     = `{"Action":"output","Package":"a/links","Output":"FAIL\n"}`
	panicLine   = `{"Action":"output","Package":"a/links","Output":"panic: lost\n"}`
	buildLine   = `{"ImportPath":"a/swarm","Action":"build-fail"}`
	knownEntry  = "test: a/links.TestBad\nseen: lost a byte\n"
)

func TestEvaluate(t *testing.T) {
	cases := map[string]struct {
		input      string
		red        string
		want       error
		wantOutput string
	}{
		"all pass":            {input: passLine, wantOutput: "1 passed, 0 failed"},
		"no test":             {input: "", want: assess.ErrFailed, wantOutput: "0 passed, 0 failed"},
		"one fails":           {input: passLine + "\n" + failLine + "\n" + failPackage, want: assess.ErrFailed, wantOutput: "name=a/links.TestBad"},
		"panic after known":   {input: passLine + "\n" + failLine + "\n" + panicLine + "\n" + failPackage, red: knownEntry, want: assess.ErrFailed, wantOutput: "name=a/links\npanic: lost"},
		"known failure":       {input: passLine + "\n" + failLine + "\n" + endLine + "\n" + failPackage, red: knownEntry, wantOutput: `known-red name=a/links.TestBad seen="lost a byte"`},
		"other known failure": {input: passLine + "\n" + failLine, red: "test: a/links.TestOther\n", want: assess.ErrFailed, wantOutput: "name=a/links.TestBad"},
		"does not build":      {input: passLine + "\n" + buildLine, want: assess.ErrFailed, wantOutput: "name=a/swarm"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			red := write(t, "red", c.red)
			var out bytes.Buffer
			err := assess.Evaluate(strings.NewReader(c.input), &out, red, filepath.Join(t.TempDir(), "ran"))
			if !errors.Is(err, c.want) || !strings.Contains(out.String(), c.wantOutput) {
				t.Errorf("error %v, output %q", err, out.String())
			}
		})
	}
}

func TestMatch(t *testing.T) {
	ran := write(t, "ran", "a/links.TestGood\n")
	for text, want := range map[string]error{
		"| cut | links.TestGood |":  nil,
		"| cut | links.TestOther |": assess.ErrMatrix,
	} {
		if err := assess.Match(&bytes.Buffer{}, write(t, "doc", text), ran); !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", text, err, want)
		}
	}
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
