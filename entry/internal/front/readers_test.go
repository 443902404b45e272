package front_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
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
)

// longSender responds with a long response.
type longSender struct{ fakeSender }

func (s *longSender) Send(_ context.Context, _ calls.Request, sink sender.Sink) *calls.Refusal {
	if sink.Head("seven", http.StatusOK, "text/plain") != nil {
		return calls.Unknown(calls.ReasonCanceled, 0, "no head")
	}
	part := bytes.Repeat([]byte{'x'}, partBytes)
	for range longResponse / partBytes {
		if err := sink.Data(part); err != nil {
			return calls.Unknown(calls.ReasonCanceled, 0, err.Error())
		}
	}
	return s.refusal
}

func serveLong(t *testing.T, s front.Sender) *httptest.Server {
	t.Helper()
	f := front.New(front.Options{
		Sender: s, Queues: stub{}, Lookup: stub{}, Tables: &tables.Active{}, Trail: audit.NewTrail(zap.NewNop()),
		AddressTTL: time.Second, DrainTimeout: time.Second, BodyBytes: 4 * calls.MaxBodyBytes, Log: zap.NewNop(),
	})
	r := mux.NewRouter()
	f.Register(r)
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return server
}

// TestClientThatReadsNothingFreesItsMemory has clients with long bodies read nothing of long responses. Requests of
// others find memory for their bodies once the time of these has ended.
func TestClientThatReadsNothingFreesItsMemory(t *testing.T) {
	s := serveLong(t, &longSender{})
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
