package conns_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"testing"

	"currantport.example/core/conns"
)

// unsound are heads of responses that no sound upstream sends, each followed by a body.
var unsound = map[string]string{
	"status 000":                   "HTTP/1.1 000 None\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                   "HTTP/1.1 099 None\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"status 000, then 200":         "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"status 001, then 200":         "HTTP/1.1 001 None\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"status 099, then 200":         "HTTP/1.1 099 None\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"status +20":                   "HTTP/1.1 +20 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"blank within a name":          "HTTP/1.1 200 OK\r\nId: r\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"blank behind a name":          "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length : 2\r\n\r\nok and more",
	"blank behind a name, chunked": "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"tab within a name":            "HTTP/1.1 200 OK\r\nId: r\r\nX\tY: 1\r\nContent-Length: 2\r\n\r\nok",
	"control byte within a name":   "HTTP/1.1 200 OK\r\nId: r\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"NUL within a name":            "HTTP/1.1 200 OK\r\nId: r\r\nX\x00Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"DEL within a name":            "HTTP/1.1 200 OK\r\nId: r\r\nX\x7fY: 1\r\nContent-Length: 2\r\n\r\nok",
	"byte above ASCII in a name":   "HTTP/1.1 200 OK\r\nId: r\r\nX\xe9Y: 1\r\nContent-Length: 2\r\n\r\nok",
	"delimiter within a name":      "HTTP/1.1 200 OK\r\nId: r\r\nX(Y): 1\r\nContent-Length: 2\r\n\r\nok",
	"no name":                      "HTTP/1.1 200 OK\r\nId: r\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"no colon":                     "HTTP/1.1 200 OK\r\nId: r\r\nX\r\nContent-Length: 2\r\n\r\nok",
	"NUL within a value":           "HTTP/1.1 200 OK\r\nId: r\r\nX: a\x00b\r\nContent-Length: 2\r\n\r\nok",
	"CR within a value":            "HTTP/1.1 200 OK\r\nId: r\r\nX: a\rb\r\nContent-Length: 2\r\n\r\nok",
	"blank in an interim head":     "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"blank in another's head":      "HTTP/1.1 200 OK\r\nId: other\r\nX Y: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"two lengths":                  "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"a length that is none":        "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: +2\r\n\r\nok",
	"an unknown encoding":          "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in another's trailer":   "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
	"blank in a trailer":           "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
	"control byte in a trailer":    "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01Y: 1\r\n\r\n",
}

// TestUnsoundHeadIsNoResponse checks that the request is neither answered nor taken for one that hasn't run, and that
// the connection isn't used again.
func TestUnsoundHeadIsNoResponse(t *testing.T) {
	for name, text := range unsound {
		runScript(t, func(c net.Conn, r *bufio.Reader, number int) {
			if id, ok := read(r); ok && number == 1 {
				fmt.Fprint(c, text)
			} else if ok {
				respond(c, id, "sound")
			}
		}, func(p *conns.Pool, s *server) {
			got, err := roundTrip(p, request("r", ""), false)
			var lost *conns.LostError
			if err == nil || errors.As(err, &lost) && lost.State != conns.SendStateUnknown {
				t.Errorf("%s: %q, %v", name, got, err)
			}
			if got, err := roundTrip(p, request("r", ""), false); err != nil || got != "sound" || s.accepted != 2 {
				t.Errorf("%s, the next request: %q, %v on connection %d", name, got, err, s.accepted)
			}
		})
	}
}

func TestSoundHeadsAreResponses(t *testing.T) {
	for name, text := range map[string]string{
		"interim heads":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
		"unusual names":       "HTTP/1.1 200 OK\r\nId: r\r\nX!#$%&'*+-.^_`|~9: 1\r\nContent-Length: 2\r\n\r\nok",
		"values of all kinds": "HTTP/1.1 200 OK\r\nId: r\r\nX: \t a\tb \xe9\xff\r\nY:\r\nContent-Length: 2\r\n\r\nok",
		"status 299":          "HTTP/1.1 299 Odd\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
		"trailer":             "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n",
	} {
		runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
			if _, ok := read(r); ok {
				fmt.Fprint(c, text)
			}
		}, func(p *conns.Pool, _ *server) {
			if got, err := roundTrip(p, request("r", ""), false); err != nil || got != "ok" {
				t.Errorf("%s: %q, %v", name, got, err)
			}
		})
	}
}
