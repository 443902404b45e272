package links_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"currantport.example/core/links"
)

// responder answers each connection with a text once it has read the head of a request, and ends it.
type responder struct {
	listener net.Listener
	text     string
	end      func(c *net.TCPConn)
}

func (r *responder) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.serve(c.(*net.TCPConn))
	}
}

func (r *responder) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	_, _ = io.WriteString(c, r.text)
	r.end(c)
}

func closeInOrder(c *net.TCPConn) { _ = c.CloseWrite() }

func reset(c *net.TCPConn) {
	time.Sleep(time.Millisecond)
	_ = c.SetLinger(0)
}

var clients = map[string]func(links.Dialer) (*http.Client, func()){"client": links.NewClient, "download client": links.NewDownloadClient}

// ask sends a request to a responder with each of the clients, a number of times, and returns the bodies that were taken
// as complete.
func ask(t *testing.T, r responder, method string, body []byte, tries int) (complete []string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	r.listener = l
	go r.run()
	for _, open := range clients {
		client, stop := open(nil)
		for range tries {
			if text, err := askOnce(client, method, "http://"+l.Addr().String(), body); err == nil {
				complete = append(complete, text)
			}
		}
		stop()
	}
	return complete
}

func askOnce(client *http.Client, method, at string, body []byte) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, at, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	response, err := client.Do(q)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%03d %s", response.StatusCode, text), err
}

func TestUnsoundHeadIsAnError(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                   "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
		"status 099, then 200":         "HTTP/1.1 099 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"blank within a name":          "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"blank behind a name":          "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok and more",
		"blank behind a name, chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"control byte within a name":   "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
		"NUL within a value":           "HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 2\r\n\r\nok",
		"blank in an interim head":     "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"blank in a trailer":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		if got := ask(t, responder{text: text, end: closeInOrder}, http.MethodGet, nil, 1); len(got) > 0 {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// TestEarlyResponseWithoutLengthIsNoWholeOne has a server respond while a long request is being written, and reset the
// connection. It runs on real sockets, since networks in memory report a reset to the read, too.
func TestEarlyResponseWithoutLengthIsNoWholeOne(t *testing.T) {
	r := responder{text: "HTTP/1.1 200 OK\r\n\r\npart", end: reset}
	if got := ask(t, r, http.MethodPut, make([]byte, 4<<20), 60); len(got) > 0 {
		t.Errorf("%d of %d responses were taken as complete", len(got), 60*len(clients))
	}
}

func TestResponseWithoutLengthEndsInOrder(t *testing.T) {
	r := responder{text: "HTTP/1.1 200 OK\r\n\r\nall", end: closeInOrder}
	for _, body := range [][]byte{nil, []byte("short")} {
		if got := ask(t, r, http.MethodPost, body, 5); len(got) != 5*len(clients) {
			t.Errorf("%d bytes sent: %q", len(body), got)
		}
	}
}

func TestSoundTrailerAndInterimHeadAreTaken(t *testing.T) {
	text := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n"
	if got := ask(t, responder{text: text, end: closeInOrder}, http.MethodGet, nil, 1); len(got) != len(clients) || got[0] != "200 ok" {
		t.Errorf("%q", got)
	}
}
