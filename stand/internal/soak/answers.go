package soak

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"regexp"
	"strconv"

	"currantport.example/platform/fakes"
)

// checkAnswer returns what is wrong with an answer, or nothing. An answer that isn't
// whole must not be a part of anything but the own answer.
func checkAnswer(s *sent, runs []fakes.Run) string {
	a := s.answer
	if a.ID != "" && a.ID != s.ID {
		return "the answer is that of " + a.ID
	}
	if a.Signature == "" {
		if a.IsSuccess() {
			return "a success without a signature"
		}
		return ""
	}
	run := runOf(runs, a.Signature)
	if run == nil {
		return "no run has the signature of the answer"
	}
	if run.Status != a.Status {
		return fmt.Sprintf("status %d of a run with status %d", a.Status, run.Status)
	}
	if a.Status != http.StatusOK {
		return ""
	}
	if s.kind.stream {
		return checkEvents(s, a)
	}
	sum := sha256.Sum256(a.Body)
	if a.Complete && hex.EncodeToString(sum[:]) != run.ResponseDigest {
		return "the body isn't that of the run"
	}
	return ""
}

func runOf(runs []fakes.Run, signature string) *fakes.Run {
	for i := range runs {
		if runs[i].Signature == signature {
			return &runs[i]
		}
	}
	return nil
}

var eventPattern = regexp.MustCompile(`^id: (\d+)\ndata: (\S+) (\S+) (\d+)/(\d+)$`)

// checkEvents returns what is wrong with a stream. Events follow each other without a
// gap; those of another run only follow where the stream may be resumed.
func checkEvents(s *sent, a fakes.Response) string {
	parts := bytes.Split(a.Body, []byte("\n\n"))
	rest := parts[len(parts)-1]
	parts = parts[:len(parts)-1]
	if a.Complete && len(rest) > 0 {
		return "the stream ends within an event and looks whole"
	}
	for i, p := range parts {
		m := eventPattern.FindSubmatch(p)
		if m == nil {
			return fmt.Sprintf("event %q can't be read", p)
		}
		if string(m[1]) != strconv.Itoa(i+1) || !bytes.Equal(m[1], m[4]) {
			return fmt.Sprintf("event %s stands in place %d", m[1], i+1)
		}
		if string(m[2]) != s.ID {
			return fmt.Sprintf("event %d is that of %s", i+1, m[2])
		}
		if !s.kind.resumable && string(m[3]) != a.Signature {
			return fmt.Sprintf("event %d is that of another run", i+1)
		}
	}
	if a.Complete && len(parts) != eventCount {
		return fmt.Sprintf("the stream looks whole with %d events of %d", len(parts), eventCount)
	}
	return ""
}
