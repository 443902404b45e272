package links_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"currantport.example/core/links"
)

// The tests of this file need the real kernel, and so real time.

// slowReader is a peer over loopback that reads slowly.
type slowReader struct {
	// window is the size of its receive buffer, or zero for the usual one.
	window int
	// before is how much it reads before it pauses, pause how long it then reads nothing.
	before int64
	pause  time.Duration
	// rate is the number of bytes per second that it reads if it doesn't pause.
	rate int
}

var slowReaders = map[string]slowReader{
	"pause, usual window": {before: 16 << 10, pause: 2500 * time.Millisecond},
	"pause, small window": {window: 2 << 10, before: 64, pause: 2500 * time.Millisecond},
	"long pause":          {window: 4 << 10, before: 64, pause: 4500 * time.Millisecond},
	"slow and steady":     {window: 16 << 10, rate: 14 << 10},
}

func (r slowReader) read(body io.Reader) (int64, error) {
	if r.rate == 0 {
		first, err := io.CopyN(io.Discard, body, r.before)
		if err != nil {
			return first, err
		}
		time.Sleep(r.pause)
		rest, err := io.Copy(io.Discard, body)
		return first + rest, err
	}
	sum := int64(0)
	p := make([]byte, r.rate/20)
	for {
		n, err := body.Read(p)
		sum += int64(n)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return sum, err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(r.rate))
	}
}

// size is longer than what the buffers of both ends hold, or than what the window does.
func (r slowReader) size() int {
	if r.window == 0 {
		return 8 << 20
	}
	return 64 << 10
}

func (r slowReader) control(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		if r.window > 0 {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, r.window)
		}
	})
}

// TestSlowClientGetsWholeResponse guards against a client that reads slowly being taken for one
// that is gone.
func TestSlowClientGetsWholeResponse(t *testing.T) {
	for name, r := range slowReaders {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stop, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, r.size()))
			}))
			defer stop()
			transport := &http.Transport{DialContext: (&net.Dialer{Control: r.control}).DialContext}
			defer transport.CloseIdleConnections()
			response, err := (&http.Client{Transport: transport}).Get("http://" + address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			if n, err := r.read(response.Body); err != nil || n != int64(r.size()) {
				t.Errorf("%d of %d bytes: %v", n, r.size(), err)
			}
		})
	}
}

// TestSlowUpstreamGetsWholeRequest guards against an upstream that reads a request slowly being
// taken for one that is gone.
func TestSlowUpstreamGetsWholeRequest(t *testing.T) {
	for name, r := range slowReaders {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := (&net.ListenConfig{Control: r.control}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			stop := links.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				if n, err := r.read(request.Body); err != nil || n != int64(r.size()) {
					t.Errorf("%d of %d bytes: %v", n, r.size(), err)
				}
			}), zap.NewNop(), time.Second)
			defer stop()
			client, closeIdle := links.NewClient(nil)
			defer closeIdle()
			response, err := client.Post("http://"+l.Addr().String(), "", bytes.NewReader(make([]byte, r.size())))
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
		})
	}
}

func serve(t *testing.T, h http.Handler) (stop func(), address string) {
	t.Helper()
	l, err := links.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	return links.Serve(l, h, zap.NewNop(), time.Second), l.Addr().String()
}

// vanish makes a connection drop all that arrives, as if its host had lost power. Its kernel
// acknowledges nothing from then on.
func vanish(c net.Conn) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	})
	return errors.Join(err, set)
}

// TestGoneClientIsDetected guards against requests that go on for a client that is gone. Its kernel
// acknowledges nothing while the response is awaited, written, or not read.
func TestGoneClientIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		// written is how much of a response is written before the client is gone, every how much after.
		written, every int
		// unread is how long the client has then read nothing.
		unread time.Duration
		// within bounds the detection. The kernel's probes of a window that stays closed follow each
		// other at growing intervals.
		within time.Duration
	}{
		"awaits the response": {within: detectionTimeout},
		"within a stream":     {written: 100, every: 100, within: detectionTimeout},
		"reads nothing":       {written: 16 << 20, unread: 500 * time.Millisecond, within: 2 * detectionTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			gone, ended := make(chan struct{}), make(chan time.Time, 1)
			stop, address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				defer once.Do(func() { ended <- time.Now() })
				if c.unread > 0 {
					_, _ = w.Write(make([]byte, c.written))
					return
				}
				writeUntilGone(r.Context(), w, gone, c.written, c.every)
			}))
			defer stop()
			client, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(c.unread + 200*time.Millisecond)
			if err := vanish(client); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			close(gone)
			select {
			case at := <-ended:
				t.Logf("ended after %v", at.Sub(start))
			case <-time.After(c.within):
				t.Errorf("the request goes on for over %v", c.within)
			}
		})
	}
}

// writeUntilGone writes a part of a response, and others after the client is gone until the request is
// canceled.
func writeUntilGone(ctx context.Context, w http.ResponseWriter, gone chan struct{}, written, every int) {
	_, _ = w.Write(make([]byte, written))
	_ = http.NewResponseController(w).Flush()
	<-gone
	for ctx.Err() == nil {
		if every > 0 {
			_, _ = w.Write(make([]byte, every))
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestGoneUpstreamIsDetected guards against requests that wait for an upstream that is gone.
func TestGoneUpstreamIsDetected(t *testing.T) {
	for name, size := range map[string]int{"awaits the response": 0, "writes the request": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			client, closeIdle := links.NewClient(nil)
			defer closeIdle()
			ended := make(chan error, 1)
			go func() {
				response, err := client.Post("http://"+l.Addr().String(), "", bytes.NewReader(make([]byte, size)))
				if err == nil {
					_ = response.Body.Close()
				}
				ended <- err
			}()
			upstream, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = upstream.Close() }()
			if _, err := io.ReadFull(upstream, make([]byte, 64)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(300 * time.Millisecond)
			if err := vanish(upstream); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			select {
			case err := <-ended:
				t.Logf("ended after %v: %v", time.Since(start), err)
				if err == nil {
					t.Error("a response of an upstream that is gone")
				}
			case <-time.After(2 * detectionTimeout):
				t.Errorf("the request waits for over %v", 2*detectionTimeout)
			}
		})
	}
}
