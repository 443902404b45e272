package front_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/tables"
	"currantport.example/entry/internal/front"
	"currantport.example/entry/internal/sender"
)

const (
	megabyte = 1 << 20
	// longResponse is the length of a response that fits into no socket buffer.
	longResponse = 7 * megabyte
	partBytes    = 64 << 10
	// responseMemory is the bound for buffered responses, and readers the number of clients with long ones.
	responseMemory = 16 * megabyte
	readers        = 20
)

// longSender responds with a long response.
type longSender struct {
	// fakeSender has the refusal that ends the response halfway, or none.
	fakeSender
	// arrived receives a value for each response that was passed to its sink, and released is closed when those may end.
	arrived, released chan struct{}
}

func (s *longSender) Send(_ context.Context, _ calls.Request, sink sender.Sink) *calls.Refusal {
	length := longResponse
	if s.refusal != nil {
		length /= 2
	}
	if sink.Head("seven", http.StatusOK, "text/plain") != nil {
		return calls.Unknown(calls.ReasonCanceled, 0, "no head")
	}
	part := bytes.Repeat([]byte{'x'}, partBytes)
	for range length / partBytes {
		err := sink.Data(part)
		var refusal *calls.Refusal
		if errors.As(err, &refusal) {
			return refusal
		}
		if err != nil {
			return calls.Unknown(calls.ReasonCanceled, 0, err.Error())
		}
	}
	if s.arrived != nil {
		s.arrived <- struct{}{}
		<-s.released
	}
	return s.refusal
}

func serveLong(t *testing.T, s front.Sender, memory int64) *httptest.Server {
	t.Helper()
	f := front.New(front.Options{
		Sender: s, Queues: stub{}, Lookup: stub{}, Tables: &tables.Active{}, Trail: audit.NewTrail(zap.NewNop()),
		AddressTTL: time.Second, DrainTimeout: time.Second, BodyBytes: 4 * calls.MaxBodyBytes, ResponseBytes: memory, Log: zap.NewNop(),
	})
	r := mux.NewRouter()
	f.Register(r)
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server
}

// TestClientThatReadsNothingFreesItsMemory has clients send long bodies and read nothing of long responses. Once their
// requests have ended, those of others find memory for long bodies.
func TestClientThatReadsNothingFreesItsMemory(t *testing.T) {
	s := serveLong(t, &longSender{}, responseMemory)
	for range 3 {
		c := post(t, s, 500*time.Millisecond, calls.MaxBodyBytes, calls.MaxBodyBytes)
		_ = c.(*net.TCPConn).SetReadBuffer(partBytes)
	}
	time.Sleep(100 * time.Millisecond)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, text, err := answer(post(t, s, 10*time.Second, calls.MaxBodyBytes, calls.MaxBodyBytes))
		if status == http.StatusOK && len(text) == longResponse && err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("status %d, %d bytes, %v", status, len(text), err)
		}
	}
}

// TestBufferedResponsesAreBounded has clients read long responses only once all have arrived or no more arrive. They get
// all of them.
func TestBufferedResponsesAreBounded(t *testing.T) {
	l := &longSender{arrived: make(chan struct{}, readers), released: make(chan struct{})}
	s := serveLong(t, l, responseMemory)
	before := heapBytes()
	var all []net.Conn
	for range readers {
		c := post(t, s, 30*time.Second, 1, 1)
		_ = c.(*net.TCPConn).SetReadBuffer(partBytes)
		all = append(all, c)
	}
	for i := range readers {
		select {
		case <-l.arrived:
			continue
		case <-time.After(2 * time.Second):
		}
		t.Logf("%d of %d responses have arrived", i, readers)
		break
	}
	// Each connection may keep some buffers of its own.
	if used := heapBytes() - before; used > responseMemory+readers*2*partBytes {
		t.Errorf("%d MiB are used for responses, want at most %d", used/megabyte, responseMemory/megabyte)
	}
	close(l.released)
	for i, c := range all {
		if status, text, err := answer(c); status != http.StatusOK || len(text) != longResponse || err != nil {
			t.Errorf("response %d: status %d, %d bytes, %v", i, status, len(text), err)
		}
	}
	if used := heapBytes() - before; used > readers*2*partBytes {
		t.Errorf("%d MiB are used after all responses", used/megabyte)
	}
}

// TestBrokenLongResponseIsNotWhole has long responses end halfway, with more of them than may be buffered.
func TestBrokenLongResponseIsNotWhole(t *testing.T) {
	s := serveLong(t, &longSender{fakeSender: fakeSender{refusal: calls.Unknown(calls.ReasonLost, 0, "the upstream was lost")}}, responseMemory)
	var all []net.Conn
	for range readers {
		all = append(all, post(t, s, 30*time.Second, 1, 1))
	}
	for i, c := range all {
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("response %d: %v", i, err)
			continue
		}
		text, err := io.ReadAll(response.Body)
		isProblem := response.StatusCode != http.StatusOK && strings.Contains(string(text), `"outcome":"unknown"`)
		if !isProblem && err == nil {
			t.Errorf("response %d: status %d, %d bytes taken for whole", i, response.StatusCode, len(text))
		}
	}
}

// TestClientOfHTTP10GetsNoResponseInChunks has a client that can't tell where such a response breaks off.
func TestClientOfHTTP10GetsNoResponseInChunks(t *testing.T) {
	s := serveLong(t, &longSender{}, megabyte)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "POST /v1/routes/draft HTTP/1.0\r\nHost: h\r\nWorkspace: harbour\r\nContent-Type: application/json\r\nContent-Length: 1\r\n\r\n1")
	status, text, err := answer(c)
	if err != nil || status == http.StatusOK || !strings.Contains(text, `"outcome":"unknown"`) || !strings.Contains(text, `"reason":"memory"`) {
		t.Errorf("status %d, %d bytes, %v", status, len(text), err)
	}
}

// heapBytes returns the memory in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
