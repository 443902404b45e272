package soak

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"currantport.example/platform/fakes"
)

// checkResponse returns what is wrong with a response, or an empty string. An incomplete
// response must be a part of the correct one.
func checkResponse(s *sentRequest, runs []fakes.Run) string {
	r := s.response
	if r.Err != nil && strings.Contains(r.Err.Error(), "malformed") {
		return "the response is none: " + r.Err.Error()
	}
	if r.ID != "" && r.ID != s.ID {
		return "the response belongs to " + r.ID
	}
	if r.Signature == "" {
		if r.IsSuccess() {
			return "success without a signature"
		}
		return ""
	}
	run := runOf(runs, r.Signature)
	if run == nil {
		return "no run has the signature of the response"
	}
	if run.Status != r.Status {
		return fmt.Sprintf("status %d from a run with status %d", r.Status, run.Status)
	}
	if r.Status != http.StatusOK {
		return ""
	}
	if s.kind.stream {
		return checkEvents(s, r)
	}
	sum := sha256.Sum256(r.Body)
	if r.Complete && hex.EncodeToString(sum[:]) != run.ResponseDigest {
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

// checkEvents returns what is wrong with an event stream, or an empty string. Events must
// be consecutive; events of another run may only follow if the stream is resumable.
func checkEvents(s *sentRequest, r fakes.Response) string {
	parts := bytes.Split(r.Body, []byte("\n\n"))
	rest := parts[len(parts)-1]
	parts = parts[:len(parts)-1]
	if r.Complete && len(rest) > 0 {
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
		if !s.kind.resumable && string(m[3]) != r.Signature {
			return fmt.Sprintf("event %d belongs to another run", i+1)
		}
	}
	if r.Complete && len(parts) != eventCount {
		return fmt.Sprintf("the stream looks complete with %d of %d events", len(parts), eventCount)
	}
	return ""
}
