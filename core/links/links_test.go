package links_test

import (
	"context"
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

// detectionTimeout is the time within which a silent connection must be detected.
const detectionTimeout = 3 * time.Second

var (
	clientAddress = netip.MustParseAddr("10.0.0.1")
	serverAddress = netip.MustParseAddrPort("10.0.0.2:80")
)

// The steps at which a connection fails.
const (
	stepHead trial.Step = "head"
	stepBody trial.Step = "body"
	stepIdle trial.Step = "idle"
)

// world is a client and a server. The handler of the server injects the fault of the
// script into the connection and then blocks until the client is gone.
type world struct {
	t       *testing.T
	network *memnet.Network
	script  *trial.Script
	client  *http.Client
	// handlerDuration receives how long the handler ran after a fault.
	handlerDuration chan time.Duration
}

func newWorld(t *testing.T, s *trial.Script, open func(links.Dialer) (*http.Client, func())) *world {
	w := &world{t: t, network: memnet.New(nil), script: s, handlerDuration: make(chan time.Duration, 4)}
	l, err := w.network.Listen(serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	stop := links.Serve(l, http.HandlerFunc(w.serve), zap.NewNop(), 100*time.Millisecond)
	client, closeIdle := open(w.network.Dialer(clientAddress))
	w.client = client
	t.Cleanup(func() {
		closeIdle()
		stop()
	})
	return w
}

func (w *world) injectFault(step trial.Step) bool {
	switch w.script.NextFault(step) {
	case trial.Silence:
		w.network.SilenceOpen(clientAddress, serverAddress.Addr())
	case trial.Cut:
		w.network.Cut(clientAddress, serverAddress.Addr())
	case trial.Refuse:
		w.network.Silence(clientAddress, serverAddress.Addr())
		time.AfterFunc(time.Second, func() { w.network.Heal(clientAddress, serverAddress.Addr()) })
	default:
		return false
	}
	return true
}

func (w *world) serve(writer http.ResponseWriter, r *http.Request) {
	start := time.Now()
	failed := w.injectFault(stepHead)
	if !failed {
		_, _ = io.WriteString(writer, "part")
		_ = http.NewResponseController(writer).Flush()
		failed = w.injectFault(stepBody)
	}
	if failed {
		// The timeout ends handlers of connections that only the kernel would close.
		select {
		case <-r.Context().Done():
		case <-time.After(time.Minute):
		}
		w.handlerDuration <- time.Since(start)
	}
}

// get sends a request and returns how long it took.
func (w *world) get() (time.Duration, error) {
	start := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+serverAddress.String(), nil)
	if err != nil {
		w.t.Fatal(err)
	}
	response, err := w.client.Do(r)
	if err != nil {
		return time.Since(start), err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return time.Since(start), err
}

// TestSilentConnectionIsDetected covers the clients that detect a silent connection
// above the kernel. The request in progress fails in time, and a later request doesn't
// wait.
func TestSilentConnectionIsDetected(t *testing.T) {
	faults := []trial.Fault{trial.Silence, trial.Cut, trial.Refuse}
	for name, open := range map[string]func(links.Dialer) (*http.Client, func()){
		"peer": links.NewPeerClient, "download": links.NewDownloadClient,
	} {
		t.Run(name, func(t *testing.T) {
			trial.Run(t, trial.Singles([]trial.Step{stepHead, stepBody}, faults), func(t *testing.T, s *trial.Script) {
				w := newWorld(t, s, open)
				if took, err := w.get(); err == nil || took > detectionTimeout {
					t.Errorf("the request in progress ended after %s, error %v", took, err)
				}
				time.Sleep(detectionTimeout)
				if took, err := w.get(); err != nil || took > 0 {
					t.Errorf("the next request took %s, error %v", took, err)
				}
			})
		})
	}
}

// TestIdleSilentConnectionIsNotReused covers all clients: a request that begins after
// the detection timeout doesn't wait on the silent connection.
func TestIdleSilentConnectionIsNotReused(t *testing.T) {
	for name, open := range map[string]func(links.Dialer) (*http.Client, func()){
		"peer": links.NewPeerClient, "download": links.NewDownloadClient, "external": links.NewClient,
	} {
		t.Run(name, func(t *testing.T) {
			trial.Run(t, trial.Singles([]trial.Step{stepIdle}, []trial.Fault{trial.Silence, trial.Cut, trial.Refuse}), func(t *testing.T, s *trial.Script) {
				w := newWorld(t, s, open)
				if _, err := w.get(); err != nil {
					t.Fatal(err)
				}
				w.injectFault(stepIdle)
				time.Sleep(detectionTimeout)
				if took, err := w.get(); err != nil || took > 0 {
					t.Errorf("the next request took %s, error %v", took, err)
				}
			})
		})
	}
}

// TestServerDetectsSilentClient covers HTTP/2 clients.
func TestServerDetectsSilentClient(t *testing.T) {
	trial.Run(t, trial.Singles([]trial.Step{stepHead, stepBody}, []trial.Fault{trial.Silence, trial.Cut}), func(t *testing.T, s *trial.Script) {
		w := newWorld(t, s, links.NewPeerClient)
		_, _ = w.get()
		if took := <-w.handlerDuration; took > detectionTimeout {
			t.Errorf("the handler ran for another %s", took)
		}
	})
}

// TestDialTimesOut dials while the network drops everything to the server.
func TestDialTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		n.Silence(clientAddress, serverAddress.Addr())
		client, stop := links.NewClient(n.Dialer(clientAddress))
		defer stop()
		w := &world{t: t, client: client}
		if took, err := w.get(); err == nil || took > time.Second {
			t.Errorf("the dial took %s, error %v", took, err)
		}
	})
}

// TestSocketOptions reads the socket options of both ends of a real connection.
func TestSocketOptions(t *testing.T) {
	l, err := links.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	accepted := &acceptor{Listener: l, conns: make(chan string, 1)}
	stop := links.Serve(accepted, http.NotFoundHandler(), zap.NewNop(), time.Second)
	defer stop()
	var dialed string
	client, closeIdle := links.NewClient(recorder{dial: links.ExternalDialer(nil), options: &dialed}.dialRecorded)
	defer closeIdle()
	response, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	want := "timeout=0 keepalive=1 idle=1 interval=1 count=1"
	if got := <-accepted.conns; got != want || dialed != want {
		t.Errorf("accepted with %q, dialed with %q, want %q", got, dialed, want)
	}
}

// flood responds with more bytes than the client reads.
func flood(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1<<20)) }

// TestBytesInFlightAreBounded has a client that reads nothing and counts the bytes sent
// over the link.
func TestBytesInFlightAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &memnet.Link{}
		n := memnet.New(func(from, _ netip.Addr) memnet.Path {
			if from == clientAddress {
				return memnet.Path{}
			}
			return memnet.Path{Links: []*memnet.Link{link}}
		})
		l, err := n.Listen(serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		stop := links.Serve(l, http.HandlerFunc(flood), zap.NewNop(), 100*time.Millisecond)
		client, closeIdle := links.NewPeerClient(n.Dialer(clientAddress))
		response, err := client.Get("http://" + serverAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if got := link.Bytes(); got > 48<<10 {
			t.Errorf("%d bytes are in flight to a client that reads nothing", got)
		}
		_ = response.Body.Close()
		closeIdle()
		stop()
	})
}

// sizedConn records its read buffer size.
type sizedConn struct {
	net.Conn
	size *int
}

// SetReadBuffer implements the interface that NewDownloadClient looks for.
func (c sizedConn) SetReadBuffer(size int) error {
	*c.size = size
	return nil
}

func TestDownloadClientBoundsBytesInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(nil)
		l, err := n.Listen(serverAddress)
		if err != nil {
			t.Fatal(err)
		}
		stop := links.Serve(l, http.NotFoundHandler(), zap.NewNop(), 100*time.Millisecond)
		size := 0
		client, closeIdle := links.NewDownloadClient(func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := n.Dialer(clientAddress)(ctx, network, address)
			return sizedConn{Conn: c, size: &size}, err
		})
		response, err := client.Get("http://" + serverAddress.String())
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if size != 64<<10 {
			t.Errorf("the read buffer has %d bytes", size)
		}
		closeIdle()
		stop()
	})
}
