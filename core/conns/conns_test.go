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

// server accepts connections and gives each to the script, with its number.
type server struct {
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
		go (&visit{server: s, conn: c, number: s.accepted}).run()
	}
}

type visit struct {
	server *server
	conn   net.Conn
	number int
}

func (v *visit) run() {
	defer func() { _ = v.conn.Close() }()
	v.server.script(v.conn, bufio.NewReader(v.conn), v.number)
}

// read returns the id of a request that was read whole, or false at the end.
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

func answer(c io.Writer, id, body string, headers ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(headers, ""), body)
}

func request(id, body string) *conns.Request {
	return &conns.Request{
		Method: http.MethodPost, Target: "/x/%2F?a=b//c", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// try runs a test against a scripted upstream in virtual time.
func try(t *testing.T, script func(c net.Conn, r *bufio.Reader, number int), test func(p *conns.Pool, s *server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Delay: time.Millisecond, Window: 8 << 10} })
		l, err := n.Listen(upstream)
		if err != nil {
			t.Fatal(err)
		}
		s := &server{listener: l, script: script}
		go s.run()
		p, stop := conns.New(n.Dialer(entry), nil)
		test(p, s)
		stop()
		n.Kill(upstream.Addr())
		synctest.Wait()
	})
}

// do sends a request and reads the answer whole.
func do(p *conns.Pool, r *conns.Request, fresh bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := p.Acquire(ctx, upstream, fresh)
	if err != nil {
		return "", err
	}
	a, err := c.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func TestConnectionIsKeptAfterAWholeAnswer(t *testing.T) {
	try(t, func(c net.Conn, r *bufio.Reader, number int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			answer(c, id, fmt.Sprintf("%s over %d", id, number))
		}
	}, func(p *conns.Pool, _ *server) {
		for i := range 3 {
			id := fmt.Sprintf("r%d", i)
			if got, err := do(p, request(id, "b"), false); err != nil || got != id+" over 1" {
				t.Errorf("%q, %v", got, err)
			}
		}
		if got, _ := do(p, request("f", "b"), true); got != "f over 2" {
			t.Errorf("a fresh connection was asked for: %q", got)
		}
		time.Sleep(time.Minute)
		if got, _ := do(p, request("late", "b"), false); got != "late over 3" {
			t.Errorf("an old connection was used: %q", got)
		}
	})
}

func TestTargetAndBodyArriveUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	try(t, func(c net.Conn, r *bufio.Reader, _ int) {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		seen <- q.RequestURI + " " + q.Host + " " + string(body) + " " + fmt.Sprint(q.ContentLength, len(q.TransferEncoding))
		answer(c, q.Header.Get("Id"), "")
	}, func(p *conns.Pool, _ *server) {
		if _, err := do(p, request("r", "one two"), false); err != nil {
			t.Error(err)
		}
		if got, want := <-seen, "/x/%2F?a=b//c h one two 7 0"; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	})
}

// TestAnswerOfAnotherRequestIsPassedOver has late answers to an earlier request come
// before the own one.
func TestAnswerOfAnotherRequestIsPassedOver(t *testing.T) {
	try(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			answer(c, "stray", "not yours")
			answer(c, id, "yours")
		}
	}, func(p *conns.Pool, _ *server) {
		for i := range 3 {
			if got, err := do(p, request(fmt.Sprintf("r%d", i), ""), false); err != nil || got != "yours" {
				t.Errorf("%q, %v", got, err)
			}
		}
	})
}

// TestBytesBehindAnAnswerEndTheConnection proves that what follows a whole answer is
// given to nobody.
func TestBytesBehindAnAnswerEndTheConnection(t *testing.T) {
	try(t, func(c net.Conn, r *bufio.Reader, number int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			answer(c, id, fmt.Sprint(number)+"HTTP/1.1 200 OK\r\n"[:1])
			fmt.Fprint(c, "garbage")
		}
	}, func(p *conns.Pool, s *server) {
		for i := range 2 {
			if _, err := do(p, request(fmt.Sprintf("r%d", i), ""), false); err != nil {
				t.Error(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if s.accepted != 2 {
			t.Errorf("%d connections", s.accepted)
		}
	})
}

// TestEarlyAnswerLeavesNoRestOfTheRequest has the upstream answer a long request before
// it has read it. What is left of the request may not be read as another one.
func TestEarlyAnswerLeavesNoRestOfTheRequest(t *testing.T) {
	smuggled := make(chan string, 8)
	try(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := q.Header.Get("Id")
			answer(c, id, "early")
			time.Sleep(50 * time.Millisecond)
			n, _ := io.Copy(io.Discard, q.Body)
			smuggled <- fmt.Sprint(id, " ", n)
		}
	}, func(p *conns.Pool, _ *server) {
		long := strings.Repeat("GET /evil HTTP/1.1\r\nHost: h\r\n\r\n", 8000)
		if got, err := do(p, request("long", long), false); err != nil || got != "early" {
			t.Errorf("%q, %v", got, err)
		}
		if got, err := do(p, request("next", ""), false); err != nil || got != "early" {
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

func TestAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":  "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: r",
		"nothing": "",
		"garbage": "SSH-2.0-x\r\n\r\n",
	} {
		try(t, func(c net.Conn, r *bufio.Reader, _ int) {
			if _, ok := read(r); ok {
				fmt.Fprint(c, head)
			}
		}, func(p *conns.Pool, _ *server) {
			got, err := do(p, request("r", "b"), false)
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

func TestAnswerMayEndWithItsConnection(t *testing.T) {
	try(t, func(c net.Conn, r *bufio.Reader, _ int) {
		if _, ok := read(r); ok {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: r\r\n\r\nall of it")
		}
	}, func(p *conns.Pool, s *server) {
		for range 2 {
			if got, err := do(p, request("r", ""), false); err != nil || got != "all of it" {
				t.Errorf("%q, %v", got, err)
			}
		}
		if s.accepted != 2 {
			t.Errorf("%d connections", s.accepted)
		}
	})
}

func TestRefusedConnectionProvesThatNothingWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		p, stop := conns.New(n.Dialer(entry), nil)
		defer stop()
		if _, err := p.Acquire(context.Background(), upstream, false); err == nil {
			t.Error("a connection to nobody")
		}
	})
}

// TestGivenUpRequestClosesItsConnection proves that the upstream learns at once that
// nobody waits any more, also while it has sent nothing.
func TestGivenUpRequestClosesItsConnection(t *testing.T) {
	ended := make(chan time.Time, 1)
	try(t, func(_ net.Conn, r *bufio.Reader, _ int) {
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
			t.Error("an answer from nowhere")
		}
		if took := (<-ended).Sub(start); took > 110*time.Millisecond {
			t.Errorf("the connection was closed after %v", took)
		}
	})
}

// TestUpstreamThatLeavesIsForgotten closes the idle connections to it.
func TestUpstreamThatLeavesIsForgotten(t *testing.T) {
	try(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			answer(c, id, "")
		}
	}, func(p *conns.Pool, s *server) {
		for range 2 {
			if _, err := do(p, request("r", ""), false); err != nil {
				t.Error(err)
			}
			p.CloseRemoved(func(a netip.AddrPort) bool { return a == upstream })
		}
		if s.accepted != 2 {
			t.Errorf("%d connections", s.accepted)
		}
	})
}

func TestKeepAliveOfTheUpstreamCounts(t *testing.T) {
	try(t, func(c net.Conn, r *bufio.Reader, _ int) {
		for id, ok := read(r); ok; id, ok = read(r) {
			answer(c, id, "", "Keep-Alive: timeout=2, max=9\r\n")
		}
	}, func(p *conns.Pool, s *server) {
		for _, wait := range []time.Duration{0, time.Second, 1600 * time.Millisecond} {
			time.Sleep(wait)
			if _, err := do(p, request("r", ""), false); err != nil {
				t.Error(err)
			}
		}
		if s.accepted != 2 {
			t.Errorf("%d connections, the last one alone should be new", s.accepted)
		}
	})
}
