package watch_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"currantport.example/core/clocks"
	"currantport.example/core/memnet"
	"currantport.example/core/watch"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	serverAddress = netip.MustParseAddrPort("10.0.0.1:80")
	clientHost    = netip.MustParseAddr("10.0.0.2")
)

// workTime is how long the server works on a request.
const workTime = time.Second

// ending is how the handling of a request ended.
type ending struct {
	Path     string
	Canceled bool
}

// carried is the number of requests that a connection has carried, and its age.
type carried struct {
	Requests int
	Age      time.Duration
}

// server responds to each request after a while with its path and body.
type server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
	scope    tally.TestScope
	// early counts the requests that were canceled by the time their body had been read.
	early atomic.Int64

	mutex   sync.Mutex
	endings []ending
	// carried is the state of the connection at the end of each request.
	carried []carried
}

func newServer(l net.Listener) (*server, func()) {
	s := &server{done: make(chan struct{}), scope: tally.NewTestScope("", nil)}
	s.listener = watch.New(s.scope, 16<<20).Listen(l)
	s.http = &http.Server{Handler: watch.Handler(s), ReadHeaderTimeout: time.Second, IdleTimeout: 2 * time.Second, ConnContext: watch.ConnContext}
	go s.run()
	return s, func() {
		_ = s.http.Close()
		<-s.done
	}
}

func (s *server) run() {
	_ = s.http.Serve(s.listener)
	close(s.done)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.Context().Err() != nil {
		s.early.Add(1)
	}
	e := ending{Path: r.URL.Path}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		e.Canceled = true
	}
	s.mutex.Lock()
	s.endings = append(s.endings, e)
	if c := watch.ConnOf(r); c != nil {
		s.carried = append(s.carried, carried{Requests: c.Requests(), Age: clocks.Since(c.AcceptedAt()).Truncate(workTime)})
	}
	s.mutex.Unlock()
	_, _ = fmt.Fprint(w, r.URL.Path, string(body))
}

func (s *server) ended() []ending {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]ending(nil), s.endings...)
}

func (s *server) count(name string) int64 {
	for _, c := range s.scope.Snapshot().Counters() {
		if c.Name() == name {
			return c.Value()
		}
	}
	return 0
}

// play runs a test with a connection to a server in virtual time. Window is that of the connection.
func play(t *testing.T, window int, test func(s *server, c net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Delay: time.Millisecond, Window: window} })
		l, err := n.Listen(serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		s, stop := newServer(l)
		defer stop()
		c, err := n.Dialer(clientHost)(t.Context(), "tcp", serverAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		test(s, c)
		_ = c.Close()
		time.Sleep(10 * workTime)
	})
}

// request returns the text of a request with the body, or of a GET request without one.
func request(path, body string) string {
	if body == "" {
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func TestRequestsSentAheadAreServedInOrder(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for _, gap := range []time.Duration{0, 10 * time.Millisecond, 700 * time.Millisecond} {
		play(t, 64<<10, func(_ *server, c net.Conn) {
			texts := []string{request("/a", ""), request("/b", "body") + "\r\n", request("/c", long), request("/d", long), request("/e", "")}
			go (&writer{conn: c, texts: texts, gap: gap}).run()
			r := bufio.NewReader(c)
			for _, want := range []string{"/a", "/bbody", "/c" + long, "/d" + long, "/e"} {
				if got, err := readBody(r); err != nil || got != want {
					t.Fatalf("gap %v: %d bytes and error %v in place of the %d bytes of %s", gap, len(got), err, len(want), want[:2])
				}
			}
		})
	}
}

// writer writes texts with a gap between them.
type writer struct {
	conn  net.Conn
	texts []string
	gap   time.Duration
}

func (w *writer) run() {
	for _, text := range w.texts {
		if _, err := io.WriteString(w.conn, text); err != nil {
			return
		}
		time.Sleep(w.gap)
	}
}

func readBody(r *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestNoRequestSentAheadIsHandledAfterTheClientHasLeft(t *testing.T) {
	for _, gap := range []time.Duration{0, 10 * time.Millisecond, 250 * time.Millisecond} {
		for _, first := range []string{request("/a", ""), request("/a", "body")} {
			play(t, 64<<10, func(s *server, c net.Conn) {
				(&writer{conn: c, texts: []string{first, request("/b", "body") + request("/c", ""), ""}, gap: gap}).run()
				_ = c.Close()
				time.Sleep(10 * workTime)
				if diff := cmp.Diff([]ending{{Path: "/a", Canceled: true}}, s.ended()); diff != "" {
					t.Errorf("gap %v: %s", gap, diff)
				}
			})
		}
	}
}

func TestConnectionCountsItsRequests(t *testing.T) {
	play(t, 64<<10, func(s *server, c net.Conn) {
		go (&writer{conn: c, texts: []string{request("/a", "") + request("/b", "body"), request("/c", "")}}).run()
		r := bufio.NewReader(c)
		for range 3 {
			if _, err := readBody(r); err != nil {
				t.Fatal(err)
			}
		}
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if diff := cmp.Diff([]carried{{1, workTime}, {2, 2 * workTime}, {3, 3 * workTime}}, s.carried); diff != "" {
			t.Error(diff)
		}
	})
}

// TestRequestsReceivedTogetherEndWithTheConnection has the server read the second request before it
// handles the first.
func TestRequestsReceivedTogetherEndWithTheConnection(t *testing.T) {
	play(t, 64<<10, func(s *server, c net.Conn) {
		(&writer{conn: c, texts: []string{request("/a", "") + request("/b", "")}, gap: workTime / 2}).run()
		_ = c.Close()
		time.Sleep(10 * workTime)
		if diff := cmp.Diff([]ending{{Path: "/a", Canceled: true}}, s.ended()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestBytesSentAheadAreBounded(t *testing.T) {
	const window, maxTaken = 64 << 10, 448 << 10
	play(t, window, func(s *server, c net.Conn) {
		_, _ = io.WriteString(c, request("/a", ""))
		if err := c.SetWriteDeadline(time.Now().Add(workTime / 2)); err != nil {
			t.Fatal(err)
		}
		taken, err := io.WriteString(c, request("/b", strings.Repeat("x", 4<<20)))
		if err == nil || taken > maxTaken || s.count("client_ahead_full") != 1 {
			t.Errorf("%d bytes were taken, error %v, full %d times", taken, err, s.count("client_ahead_full"))
		}
	})
}

func TestConnectionIsUsableAfterEachRequest(t *testing.T) {
	play(t, 64<<10, func(s *server, c net.Conn) {
		r := bufio.NewReader(c)
		for i := range 20 {
			ahead := strings.Repeat("\r\n", i%2)
			time.Sleep(time.Duration(i) * 90 * time.Millisecond)
			_, _ = io.WriteString(c, request("/a", "body")+ahead)
			if got, err := readBody(r); err != nil || got != "/abody" {
				t.Fatalf("request %d: %q, %v", i, got, err)
			}
		}
		time.Sleep(3 * time.Second)
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("an idle connection isn't closed: %v", err)
		}
		for _, e := range s.ended() {
			if e.Canceled {
				t.Error("a request was canceled")
			}
		}
	})
}

// TestCloseReceivedWithTheRequestCancelsItFirst has clients leave before the server accepts their
// connections. It runs in real time, since virtual time has no sockets.
func TestCloseReceivedWithTheRequestCancelsItFirst(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const clients = 50
	for i := range clients {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, request("/a", strings.Repeat("body", i%2)))
		_ = c.Close()
	}
	s, stop := newServer(l)
	defer stop()
	awaitCount(t, s.endedOrDropped, clients)
	// net/http may see the end of the connection before the handler is called.
	if n := s.early.Load() + s.count("client_dropped"); n != clients {
		t.Errorf("%d of %d requests were canceled first", n, clients)
	}
}

func (s *server) endedCount() int { return len(s.ended()) }

// endedOrDropped returns how many requests have ended or were dropped unhandled.
func (s *server) endedOrDropped() int { return len(s.ended()) + int(s.count("client_dropped")) }

func awaitCount(t *testing.T, count func() int, requests int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); count() < requests && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	if n := count(); n != requests {
		t.Fatalf("%d of %d requests ended", n, requests)
	}
}

// TestCloseIsSeenOnSockets runs in real time, since virtual time has no sockets.
func TestCloseIsSeenOnSockets(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, stop := newServer(l)
	defer stop()
	const clients = 50
	for i := range clients {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		go (&leaver{conn: c, ahead: i%2 == 0}).run()
	}
	awaitCount(t, s.endedCount, clients)
	for _, e := range s.ended() {
		if !e.Canceled || e.Path != "/a" {
			t.Errorf("%s, canceled %t", e.Path, e.Canceled)
		}
	}
}

// leaver closes its connection during its request.
type leaver struct {
	conn  net.Conn
	ahead bool
}

func (l *leaver) run() {
	_, _ = io.WriteString(l.conn, request("/a", "body"))
	if l.ahead {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(l.conn, request("/b", "body"))
	}
	time.Sleep(20 * time.Millisecond)
	_ = l.conn.Close()
}

// TestReceivedBytesAreReadAfterTheDeadline runs in real time, since virtual time has no sockets.
func TestReceivedBytesAreReadAfterTheDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := watch.New(tally.NoopScope, 16<<20).Wrap(accepted)
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 16)
	if n, err := c.TryRead(buffer); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes before any was sent, %v", n, err)
	}
	_, _ = io.WriteString(client, "GET")
	_ = c.SetReadDeadline(time.Unix(1, 0))
	if n, err := c.Read(buffer); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes after the deadline, %v", n, err)
	}
	_ = c.SetReadDeadline(time.Time{})
	received := 0
	awaitCount(t, func() int {
		n, _ := c.TryRead(buffer)
		received += n
		return received
	}, len("GET"))
}
