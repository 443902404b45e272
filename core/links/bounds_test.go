package links_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/links"
	"currantport.example/core/memnet"
)

// maxTaken is more than an endless head may be read for, including what is in flight.
const maxTaken = 128 << 10

// endless is a server that answers one request with a start and then a text again and again, and
// reports the number of bytes that were taken.
type endless struct {
	listener    net.Listener
	start, text string
	written     chan int
}

func (e *endless) run() {
	c, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	written, _ := io.WriteString(c, e.start)
	for {
		n, err := io.WriteString(c, e.text)
		written += n
		if err != nil {
			e.written <- written
			return
		}
	}
}

// TestEndlessHeadIsCutOff sends a head without end to the clients for external systems.
func TestEndlessHeadIsCutOff(t *testing.T) {
	line := strings.Repeat("x", 1<<10)
	for name, e := range map[string]*endless{
		"header line":  {start: "HTTP/1.1 200 OK\r\nA: ", text: line},
		"header lines": {start: "HTTP/1.1 200 OK\r\n", text: "A: " + line + "\r\n"},
		"interim":      {start: "HTTP/1.1 103 Early Hints\r\n", text: "A: " + line + "\r\n"},
	} {
		for kind, open := range clients {
			t.Run(name+", "+kind, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { e.play(t, open) }) })
		}
	}
}

// play sends a request to the server.
func (e *endless) play(t *testing.T, open func(links.Dialer) (*http.Client, func())) {
	n := memnet.New(func(netip.Addr, netip.Addr) memnet.Path { return memnet.Path{Window: 8 << 10} })
	var err error
	if e.listener, err = n.Listen(serverAddress); err != nil {
		t.Fatal(err)
	}
	e.written = make(chan int, 1)
	go e.run()
	client, stop := open(n.Dialer(clientAddress))
	defer stop()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+serverAddress.String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response, err := client.Do(r); err == nil {
		_ = response.Body.Close()
		t.Errorf("status %d", response.StatusCode)
	}
	if got := <-e.written; got > maxTaken {
		t.Errorf("%d bytes were taken", got)
	}
	_ = e.listener.Close()
	synctest.Wait()
}
