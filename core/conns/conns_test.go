package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"currantport.example/core/conns"
	"currantport.example/core/memnet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	entry    = netip.MustParseAddr("10.0.0.1")
	upstream = netip.MustParseAddrPort("10.0.0.2:80")
)

// server accepts connections and runs the script on each, with the number of the
// connection.
type server struct {
	network  *memnet.Network
	listener net.Listener
	script   func(c net.Conn, r *bufio.Reader, number int)
	accepted int
}

func (s *server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted++
		go (&serverConn{server: s, conn: c, number: s.accepted}).run()
	}
}

type serverConn struct {
	server *server
	conn   net.Conn
	number int
}

func (c *serverConn) run() {
	defer func() { _ = c.conn.Close() }()
	c.server.script(c.conn, bufio.NewReader(c.conn), c.number)
}

// read reads a whole request and returns its id, or false at the end of the connection.
func read(r *bufio.Reader) (string, bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return "", false
	}
	return q.Header.Get("Id"), true
}

func respond(c io.Writer, id, body string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(headers, ""), body)
}

func request(id, body string) *conns.Request {
	return &conns.Request{
		Method: http.MethodPost, Target: "/x/%2F?a=b//c", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body),
		Matches: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
	}
}

// runScript runs a test against a scripted upstream in virtual time.
func runScript(t *testing.T, script func(c net.Conn, r *bufio.Reader, number int), test func(p *conns.Pool, s *server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Delay: time.Millisecond, Window: 8 << 10} })
		l, err := n.Listen(upstream)
		if err != nil {
			t.Fatal(err)
		}
		s := &server{network: n, listener: l, script: script}
		go s.run()
		p, stop := conns.New(n.Dialer(entry), nil)
		test(p, s)
		stop()
		n.Kill(upstream.Addr())
		synctest.Wait()
	})
}

// roundTrip sends a request and reads the whole response.
func roundTrip(p *conns.Pool, r *conns.Request, fresh bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Acquire(ctx, upstream, fresh)
	if err != nil {
		return "", err
	}
	response, err := c.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, number int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			respond(c, id, fmt.Sprintf("%s over %d", id, number))
		}
	}, func(p *conns.Pool, _ *server) {
		for i := range 3 {
			id := fmt.Sprintf("r%d", i)
			if got, err := roundTrip(p, request(id, "b"), false); err != nil || got != id+" over 1" {
				t.Errorf("%q, %v", got, err)
			}
		}
		if got, _ := roundTrip(p, request("f", "b"), true); got != "f over 2" {
			t.Errorf("a fresh connection was requested: %q", got)
		}
		time.Sleep(time.Minute)
		if got, _ := roundTrip(p, request("late", "b"), false); got != "late over 3" {
			t.Errorf("an expired connection was reused: %q", got)
		}
	})
}

func TestTargetAndBodyArriveUnchanged(t *testing.T) {
	received := make(chan string, 1)
	runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		received <- q.RequestURI + " " + q.Host + " " + string(body) + " " + fmt.Sprint(q.ContentLength, len(q.TransferEncoding))
		respond(c, q.Header.Get("Id"), "")
	}, func(p *conns.Pool, _ *server) {
		if _, err := roundTrip(p, request("r", "one two"), false); err != nil {
			t.Error(err)
		}
		if got, want := <-received, "/x/%2F?a=b//c h one two 7 0"; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	})
}

// TestMismatchedResponseIsSkipped sends a late response to an earlier request before the
// matching one.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			respond(c, "earlier", "not yours")
			respond(c, id, "yours")
		}
	}, func(p *conns.Pool, _ *server) {
		for i := range 3 {
			if got, err := roundTrip(p, request(fmt.Sprintf("r%d", i), ""), false); err != nil || got != "yours" {
				t.Errorf("%q, %v", got, err)
			}
		}
	})
}

// TestExtraBytesAfterResponseCloseConnection guards against bytes after a complete response
// reaching the next request.
func TestExtraBytesAfterResponseCloseConnection(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, number int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			respond(c, id, fmt.Sprint(number)+"HTTP/1.1 200 OK\r\n"[:1])
			fmt.Fprint(c, "garbage")
		}
	}, func(p *conns.Pool, s *server) {
		for i := range 2 {
			if _, err := roundTrip(p, request(fmt.Sprintf("r%d", i), ""), false); err != nil {
				t.Error(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if s.accepted != 2 {
			t.Errorf("%d connections", s.accepted)
		}
	})
}

// TestEarlyResponseLeavesNoRequestBytes has the upstream respond to a long request before
// it has read it. The rest of the request must not be parsed as another request.
func TestEarlyResponseLeavesNoRequestBytes(t *testing.T) {
	smuggled := make(chan string, 8)
	runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := q.Header.Get("Id")
			respond(c, id, "early")
			time.Sleep(50 * time.Millisecond)
			n, _ := io.Copy(io.Discard, q.Body)
			smuggled <- fmt.Sprint(id, " ", n)
		}
	}, func(p *conns.Pool, _ *server) {
		long := strings.Repeat("GET /evil HTTP/1.1\r\nHost: h\r\n\r\n", 8000)
		if got, err := roundTrip(p, request("long", long), false); err != nil || got != "early" {
			t.Errorf("%q, %v", got, err)
		}
		if got, err := roundTrip(p, request("next", ""), false); err != nil || got != "early" {
			t.Errorf("%q, %v", got, err)
		}
		time.Sleep(time.Second)
		for len(smuggled) > 0 {
			if got := <-smuggled; !strings.HasPrefix(got, "long ") && got != "next 0" {
				t.Errorf("the upstream read request %q", got)
			}
		}
	})
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":  "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: r",
		"nothing": "",
		"garbage": "SSH-2.0-x\r\n\r\n",
	} {
		runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
			if _, ok := read(r); ok {
				fmt.Fprint(c, head)
			}
		}, func(p *conns.Pool, _ *server) {
			got, err := roundTrip(p, request("r", "b"), false)
			if err == nil {
				t.Errorf("%s: %q without an error", name, got)
			}
			var lost *conns.LostError
			if errors.As(err, &lost) && lost.State != conns.SendStateUnknown {
				t.Errorf("%s: the request counts as unsent", name)
			}
		})
	}
}

func TestCloseDelimitedResponse(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
		if _, ok := read(r); ok {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r\r\n\r\nall of it")
		}
	}, func(p *conns.Pool, s *server) {
		for range 2 {
			if got, err := roundTrip(p, request("r", ""), false); err != nil || got != "all of it" {
				t.Errorf("%q, %v", got, err)
			}
		}
		if s.accepted != 2 {
			t.Errorf("%d connections", s.accepted)
		}
	})
}

func TestRefusedConnectionIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		p, stop := conns.New(n.Dialer(entry), nil)
		defer stop()
		if _, err := p.Acquire(context.Background(), upstream, false); err == nil {
			t.Error("a connection without a listener")
		}
	})
}

// TestCanceledRequestClosesConnection checks that the upstream notices at once when nobody
// waits any more, even before it has sent anything.
func TestCanceledRequestClosesConnection(t *testing.T) {
	ended := make(chan time.Time, 1)
	runScript(t, func(_ net.Conn, r *bufio.Reader, _ int) {
		_, _ = read(r)
		_, _ = r.ReadByte()
		ended <- time.Now()
	}, func(p *conns.Pool, _ *server) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c, err := p.Acquire(ctx, upstream, false)
		if err != nil {
			t.Error(err)
			return
		}
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, cancel)
		if _, err := c.Do(ctx, request("r", "")); err == nil {
			t.Error("a response although none was sent")
		}
		if took := (<-ended).Sub(start); took > 110*time.Millisecond {
			t.Errorf("the connection was closed after %v", took)
		}
	})
}

// TestRemovedUpstreamClosesIdleConnections checks that no idle connection to a removed
// upstream is reused.
func TestRemovedUpstreamClosesIdleConnections(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			respond(c, id, "")
		}
	}, func(p *conns.Pool, s *server) {
		for range 2 {
			if _, err := roundTrip(p, request("r", ""), false); err != nil {
				t.Error(err)
			}
			p.CloseRemoved(func(a netip.AddrPort) bool { return a == upstream })
		}
		if s.accepted != 2 {
			t.Errorf("%d connections", s.accepted)
		}
	})
}

func TestUpstreamKeepAliveTimeoutIsHonored(t *testing.T) {
	runScript(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			respond(c, id, "", "Keep-Alive: timeout=2, max=9\r\n")
		}
	}, func(p *conns.Pool, s *server) {
		for _, wait := range []time.Duration{0, time.Second, 1600 * time.Millisecond} {
			time.Sleep(wait)
			if _, err := roundTrip(p, request("r", ""), false); err != nil {
				t.Error(err)
			}
		}
		if s.accepted != 2 {
			t.Errorf("%d connections, the last one alone should be new", s.accepted)
		}
	})
}

// TestRequestThatIsTooLateIsNotSent has the permission of a request end while its connection is opened.
func TestRequestThatIsTooLateIsNotSent(t *testing.T) {
	for _, size := range []int{1, 64 << 10} {
		received := 0
		runScript(t, func(_ net.Conn, r *bufio.Reader, _ int) {
			n, _ := io.Copy(io.Discard, r)
			received += int(n)
		}, func(p *conns.Pool, _ *server) {
			q := request("late", strings.Repeat("x", size))
			q.MayBeSent = func() bool { return false }
			_, err := roundTrip(p, q, false)
			var lost *conns.LostError
			if !errors.As(err, &lost) || lost.State != conns.SendStateUnsent || !errors.Is(err, conns.ErrTooLate) {
				t.Errorf("%d bytes: %v", size, err)
			}
		})
		if received > 0 {
			t.Errorf("%d bytes: %d were received", size, received)
		}
	}
}
