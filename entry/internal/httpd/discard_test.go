package httpd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"

	"currantport.example/entry/internal/httpd"
)

// TestRefusalOfLongBodyArrivesAtOnce has clients send long bodies that the handler doesn't read, to their end or
// not. It runs in real time, since virtual time has no sockets.
func TestRefusalOfLongBodyArrivesAtOnce(t *testing.T) {
	const length = 4 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, stop := httpd.New(httpd.Options{Listener: l, Handler: http.HandlerFunc(refuseWithText), Log: zap.NewNop()})
	defer stop()
	for _, sent := range []int{0, length / 2, length} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
		// The client reads only once it has sent its part.
		if _, err := io.WriteString(c, strings.Repeat("x", sent)); err != nil {
			t.Errorf("%d of %d bytes sent: %v", sent, length, err)
		}
		text, err := io.ReadAll(c)
		if !strings.HasPrefix(string(text), "HTTP/1.1 503") || !strings.HasSuffix(string(text), refusal) {
			t.Errorf("%d of %d bytes sent: %q, %v", sent, length, text, err)
		}
		_ = c.Close()
	}
}

// TestAbortedRequestWithUnreadBodyHasNoResponse aborts a request whose long body isn't read. It runs in real time, since
// virtual time has no sockets.
func TestAbortedRequestWithUnreadBodyHasNoResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, stop := httpd.New(httpd.Options{Listener: l, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), Log: zap.NewNop()})
	defer stop()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 4<<20)
	if text, _ := io.ReadAll(c); len(text) > 0 {
		t.Errorf("%q", text)
	}
}

const refusal = "not now\n"

func refuseWithText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", fmt.Sprint(len(refusal)))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, refusal)
}
