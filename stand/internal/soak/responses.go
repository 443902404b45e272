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

// checkResponse returns what is wrong with a response, or nothing. An incomplete response
// must be a part of the correct one.
func checkResponse(s *sentRequest, runs []fakes.Run) string {
	a := s.response
	if a.ID != "" && a.ID != s.ID {
		return "the response belongs to " + a.ID
	}
	if a.Signature == "" {
		if a.IsSuccess() {
			return "success without a signature"
		}
		return ""
	}
	run := runOf(runs, a.Signature)
	if run == nil {
		return "no run has the signature of the response"
	}
	if run.Status != a.Status {
		return fmt.Sprintf("status %d from a run with status %d", a.Status, run.Status)
	}
	if a.Status != http.StatusOK {
		return ""
	}
	if s.kind.stream {
		return checkEvents(s, a)
	}
	sum := sha256.Sum256(a.Body)
	if a.Complete && hex.EncodeToString(sum[:]) != run.ResponseDigest {
		return "the body differs from that of the run"
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

// checkEvents returns what is wrong with an event stream. Events must be consecutive;
// events of another run may only follow if the stream is resumable.
func checkEvents(s *sentRequest, a fakes.Response) string {
	parts := bytes.Split(a.Body, []byte("\n\n"))
	rest := parts[len(parts)-1]
	parts = parts[:len(parts)-1]
	if a.Complete && len(rest) > 0 {
		return "the stream ends within an event but looks complete"
	}
	for i, p := range parts {
		m := eventPattern.FindSubmatch(p)
		if m == nil {
			return fmt.Sprintf("malformed event %q", p)
		}
		if string(m[1]) != strconv.Itoa(i+1) || !bytes.Equal(m[1], m[4]) {
			return fmt.Sprintf("event %s at position %d", m[1], i+1)
		}
		if string(m[2]) != s.ID {
			return fmt.Sprintf("event %d belongs to %s", i+1, m[2])
		}
		if !s.kind.resumable && string(m[3]) != a.Signature {
			return fmt.Sprintf("event %d belongs to another run", i+1)
		}
	}
	if a.Complete && len(parts) != eventCount {
		return fmt.Sprintf("the stream looks complete with %d of %d events", len(parts), eventCount)
	}
	return ""
}
