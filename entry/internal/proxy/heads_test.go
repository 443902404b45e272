package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
)

// TestUnsoundHeadIsNotForwarded has the first upstream of a request write a head that no sound one writes. A request
// that may run once gets an unknown outcome, another one the response of the second upstream.
func TestUnsoundHeadIsNotForwarded(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":           "HTTP/1.1 000 None\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"status 000, then 200": "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
		"blank in a name":      "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank behind a name":  "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length : 2\r\n\r\nok and more",
		"a failure":            "HTTP/1.1 500 Failed\r\nId: %s\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
	} {
		script := func(w io.Writer, v visit) {
			if v.number == 0 {
				fmt.Fprintf(w, head, v.id)
				return
			}
			good(w, v.id, "sound")
		}
		play(t, 2, script, func(w *world) {
			if a := w.request(context.Background(), "/once/x"); a.Code != http.StatusBadGateway || len(w.received()) != 1 {
				t.Errorf("%s, once: status %d, %q, %d visits", name, a.Code, a.Body, len(w.received()))
			}
		})
		play(t, 2, script, func(w *world) {
			if a := w.request(context.Background(), "/any/x"); a.Code != http.StatusOK || a.Body.String() != "sound" {
				t.Errorf("%s, any: status %d, %q", name, a.Code, a.Body)
			}
		})
		play(t, 2, script, func(w *world) {
			if a := w.request(context.Background(), "/rush/x"); a.Code == http.StatusOK && !a.aborted {
				t.Errorf("%s, a stream: status %d, %q", name, a.Code, a.Body)
			}
		})
	}
}
