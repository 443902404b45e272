package links_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/trial"
)

// findLimit is how long a silence may last before it is found.
const findLimit = 3 * time.Second

var (
	near = netip.MustParseAddr("10.0.0.1")
	far  = netip.MustParseAddrPort("10.0.0.2:80")
)

// The steps at which a connection fails.
const (
	stepHead trial.Step = "head"
	stepBody trial.Step = "body"
	stepIdle trial.Step = "idle"
)

// world is a client and a server. The server's handler fails the connection when
// the script says so and then hangs until its caller has gone.
type world struct {
	t       *testing.T
	network *memnet.Network
	script  *trial.Script
	client  *http.Client
	// gone tells how long the server's request lasted after the fault.
	gone chan time.Duration
}

func newWorld(t *testing.T, s *trial.Script, open func(links.Dialer) (*http.Client, func())) *world {
	w := &world{t: t, network: memnet.New(nil), script: s, gone: make(chan time.Duration, 4)}
	l, err := w.network.Listen(far)
	if err != nil {
		t.Fatal(err)
	}
	stop := links.Serve(l, http.HandlerFunc(w.serve), zap.NewNop(), 100*time.Millisecond)
	client, closeIdle := open(w.network.Dialer(near))
	w.client = client
	t.Cleanup(func() {
		closeIdle()
		stop()
	})
	return w
}

func (w *world) strike(step trial.Step) bool {
	switch w.script.Reach(step) {
	case trial.Silence:
		w.network.Forget(near, far.Addr())
	case trial.Cut:
		w.network.Cut(near, far.Addr())
	case trial.Refuse:
		w.network.Silence(near, far.Addr())
		time.AfterFunc(time.Second, func() { w.network.Heal(near, far.Addr()) })
	default:
		return false
	}
	return true
}

func (w *world) serve(a http.ResponseWriter, r *http.Request) {
	start := time.Now()
	struck := w.strike(stepHead)
	if !struck {
		_, _ = io.WriteString(a, "part")
		_ = http.NewResponseController(a).Flush()
		struck = w.strike(stepBody)
	}
	if struck {
		// The bound ends handlers of connections that only the kernel would end.
		select {
		case <-r.Context().Done():
		case <-time.After(time.Minute):
		}
		w.gone <- time.Since(start)
	}
}

// get returns how long a request took.
func (w *world) get() (time.Duration, error) {
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+far.String(), nil)
	if err != nil {
		w.t.Fatal(err)
	}
	a, err := w.client.Do(r)
	if err != nil {
		return time.Since(start), err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return time.Since(start), err
}

// TestSilenceIsFound holds for connections whose silence is found above the
// kernel. The request in progress fails in time, and from then on a new one
// doesn't wait.
func TestSilenceIsFound(t *testing.T) {
	faults := []trial.Fault{trial.Silence, trial.Cut, trial.Refuse}
	for name, open := range map[string]func(links.Dialer) (*http.Client, func()){
		"peer": links.NewPeerClient, "steady": links.NewDownloadClient,
	} {
		t.Run(name, func(t *testing.T) {
			trial.Run(t, trial.Singles([]trial.Step{stepHead, stepBody}, faults), func(t *testing.T, s *trial.Script) {
				w := newWorld(t, s, open)
				if took, err := w.get(); err == nil || took > findLimit {
					t.Errorf("the request in progress ended after %s, error %v", took, err)
				}
				time.Sleep(findLimit)
				if took, err := w.get(); err != nil || took > 0 {
					t.Errorf("the next request took %s, error %v", took, err)
				}
			})
		})
	}
}

// TestIdleSilenceIsPassedOver holds for all clients: a request that begins once
// a silence can have been found doesn't wait on the silent connection.
func TestIdleSilenceIsPassedOver(t *testing.T) {
	for name, open := range map[string]func(links.Dialer) (*http.Client, func()){
		"peer": links.NewPeerClient, "steady": links.NewDownloadClient, "outside": links.NewClient,
	} {
		t.Run(name, func(t *testing.T) {
			trial.Run(t, trial.Singles([]trial.Step{stepIdle}, []trial.Fault{trial.Silence, trial.Cut, trial.Refuse}), func(t *testing.T, s *trial.Script) {
				w := newWorld(t, s, open)
				if _, err := w.get(); err != nil {
					t.Fatal(err)
				}
				w.strike(stepIdle)
				time.Sleep(findLimit)
				if took, err := w.get(); err != nil || took > 0 {
					t.Errorf("the next request took %s, error %v", took, err)
				}
			})
		})
	}
}

// TestServerFindsSilentCaller holds for callers that speak HTTP/2.
func TestServerFindsSilentCaller(t *testing.T) {
	trial.Run(t, trial.Singles([]trial.Step{stepHead, stepBody}, []trial.Fault{trial.Silence, trial.Cut}), func(t *testing.T, s *trial.Script) {
		w := newWorld(t, s, links.NewPeerClient)
		_, _ = w.get()
		if took := <-w.gone; took > findLimit {
			t.Errorf("the server worked on for %s", took)
		}
	})
}

// TestDialIsBounded holds while the network to a host swallows everything.
func TestDialIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		n.Silence(near, far.Addr())
		client, stop := links.NewClient(n.Dialer(near))
		defer stop()
		w := &world{t: t, client: client}
		if took, err := w.get(); err == nil || took > time.Second {
			t.Errorf("the dial took %s, error %v", took, err)
		}
	})
}

// TestSocketOptions reads back what the kernel was told for both ends of a
// connection of the machine.
func TestSocketOptions(t *testing.T) {
	l, err := links.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	accepted := &acceptor{Listener: l, conns: make(chan string, 1)}
	stop := links.Serve(accepted, http.NotFoundHandler(), zap.NewNop(), time.Second)
	defer stop()
	var dialed string
	client, closeIdle := links.NewClient(nil)
	defer closeIdle()
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = recorder{dial: dial, options: &dialed}.dialRecorded
	a, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	want := fmt.Sprintf("timeout=%d keepalive=1 idle=1 interval=1 count=3", links.TCPUserTimeout.Milliseconds())
	if got := <-accepted.conns; got != want || dialed != want {
		t.Errorf("accepted with %q, dialed with %q, want %q", got, dialed, want)
	}
}

// flood answers with more bytes than a caller reads.
func flood(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) }

// TestBytesUnderWayAreBounded has a caller that reads nothing, over a link that
// counts.
func TestBytesUnderWayAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &memnet.Link{}
		n := memnet.New(func(from, _ netip.Addr) memnet.Path {
			if from == near {
				return memnet.Path{}
			}
			return memnet.Path{Links: []*memnet.Link{link}}
		})
		l, err := n.Listen(far)
		if err != nil {
			t.Fatal(err)
		}
		stop := links.Serve(l, http.HandlerFunc(flood), zap.NewNop(), 100*time.Millisecond)
		client, closeIdle := links.NewPeerClient(n.Dialer(near))
		a, err := client.Get("http://" + far.String())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := link.Bytes(); got > 48<<10 {
			t.Errorf("%d bytes are under way to a caller that reads nothing", got)
		}
		_ = a.Body.Close()
		closeIdle()
		stop()
	})
}

// sizedConn notes the bound that it is given.
type sizedConn struct {
	net.Conn
	size *int
}

// SetReadBuffer bounds the bytes under way.
func (c sizedConn) SetReadBuffer(size int) error {
	*c.size = size
	return nil
}

func TestSteadyClientBoundsTheBytesUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		l, err := n.Listen(far)
		if err != nil {
			t.Fatal(err)
		}
		stop := links.Serve(l, http.NotFoundHandler(), zap.NewNop(), 100*time.Millisecond)
		size := 0
		client, closeIdle := links.NewDownloadClient(func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := n.Dialer(near)(ctx, network, address)
			return sizedConn{Conn: c, size: &size}, err
		})
		a, err := client.Get("http://" + far.String())
		if err != nil {
			t.Fatal(err)
		}
		_ = a.Body.Close()
		if size != 64<<10 {
			t.Errorf("the bound is %d bytes", size)
		}
		closeIdle()
		stop()
	})
}
