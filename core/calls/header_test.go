package calls_test

import (
	"net/http"
	"testing"
	"time"

	"currantport.example/core/calls"
)

// FuzzReadHead checks that accepted headers stay within their bounds.
func FuzzReadHead(f *testing.F) {
	f.Add("r-1", "meadow", `"order-1"`, "u=3", "2s", "i1.7")
	f.Add("", "meadow", "", "", "", "")
	f.Add("a b", "", "\x00", "u=8", "-1s", "é")
	f.Fuzz(func(t *testing.T, id, workspace, key, priority, timeout, token string) {
		h := http.Header{}
		for name, value := range map[string]string{
			calls.HeaderID: id, calls.HeaderWorkspace: workspace, calls.HeaderKey: key,
			calls.HeaderPriority: priority, calls.HeaderTimeout: timeout, calls.HeaderToken: token,
		} {
			if value != "" {
				h.Set(name, value)
			}
		}
		d, err := calls.ReadHead(h)
		if err != nil {
			return
		}
		if d.Workspace == "" || key != "" && d.Key == "" || d.Priority < 0 || d.Priority > 7 || d.Timeout < 0 || d.Timeout > time.Hour {
			t.Errorf("accepted: %+v", d)
		}
		checkText(t, string(d.ID), 64)
		checkText(t, d.Workspace, 64)
		checkText(t, string(d.Key), 128)
		checkText(t, d.Token, 64)
	})
}

func checkText(t *testing.T, text string, maxLength int) {
	t.Helper()
	if len(text) > maxLength {
		t.Errorf("%q is longer than %d", text, maxLength)
	}
	for _, b := range []byte(text) {
		if b <= ' ' || b > '~' {
			t.Errorf("%q holds byte %q", text, b)
		}
	}
}
