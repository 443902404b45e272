package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// keptConn is a connection that a consumer keeps open for many requests.
type keptConn struct {
	entry  *entry
	conn   net.Conn
	reader *bufio.Reader
}

func (w *world) keep(e *entry) (*keptConn, error) {
	c, err := net.Dial("tcp", e.frontend)
	if err != nil {
		return nil, err
	}
	return &keptConn{entry: e, conn: c, reader: bufio.NewReader(c)}, nil
}

// post sends a request whose head has about the given size, and returns the status of the answer, or zero
// without one.
func (k *keptConn) post(w *world, headBytes int) int {
	const deadline = 1500 * time.Millisecond
	id := nextID("fee")
	head := fmt.Sprintf("POST /fees/post HTTP/1.1\r\nHost: fees.example\r\nX-Currantport-Attempt-Id: %s\r\nX-Currantport-Deadline-Ms: %d\r\n"+
		"Api-Key: k-parish-71c2\r\nContent-Length: 9\r\nX-Entry-Note: ", id, deadline.Milliseconds())
	head += strings.Repeat("n", max(headBytes-len(head)-4, 1)) + "\r\n\r\n"
	_ = k.conn.SetDeadline(time.Now().Add(deadline))
	w.record.line("sent    %s to %s, head of %d bytes", id, k.entry.name, len(head))
	status := 0
	if _, err := io.WriteString(k.conn, head+"entry fee"); err == nil {
		if r, err := http.ReadResponse(k.reader, nil); err == nil {
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				status = r.StatusCode
			}
		}
	}
	w.record.line("answer  %s: %d", id, status)
	return status
}

// limitsConfig returns a configuration with the limit on the bytes of a request's head.
func limitsConfig(version, maxHeaderBytes int) map[string]any {
	c := movedConfig(version, "ledger")
	c["Limits"] = map[string]any{"MaxHeaderBytes": maxHeaderBytes, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	return c
}

// playLimits raises the limit on the heads of requests while consumers keep connections open. It returns
// whether requests within the new limit are allowed on these connections.
func playLimits(w *world, trouble bool) (bool, error) {
	const (
		before, after = 4096, 16384
		usualHead     = 300
		longHead      = 14000
		count         = 24
		rounds        = 4
		// allowed is the number of such answers that the rule allows beside one in 500.
		allowed = 5
	)
	first := before
	if !trouble {
		first = after
	}
	w.store.put("op/config", limitsConfig(4, first))
	if _, err := w.addPlain("i-ledger-1", "ledger", address(21, 1), 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.addEntries(2); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	sent, served, denied := 0, 0, make(map[int]int)
	count4xx := 0
	send := func(k *keptConn, headBytes int) {
		status := k.post(w, headBytes)
		sent++
		switch {
		case status == http.StatusOK:
			served++
		case status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
			count4xx++
			denied[status]++
		default:
			denied[status]++
		}
	}
	var kept []*keptConn
	for i := range count {
		k, err := w.keep(w.entries[i%len(w.entries)])
		if err != nil {
			return false, err
		}
		defer func() { _ = k.conn.Close() }()
		kept = append(kept, k)
	}
	for range rounds {
		for _, k := range kept {
			send(k, usualHead)
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.record.say("%d of %d requests were served on %d kept connections; limit on heads %d bytes", served, sent, count, first)
	if trouble {
		w.store.put("op/config", limitsConfig(6, after))
		w.record.say("ack of version 6, with a limit of %d bytes", after)
	}
	time.Sleep(applyTime + time.Second)
	for _, k := range kept {
		send(k, longHead)
	}
	fresh, err := w.keep(w.entries[0])
	if err != nil {
		return false, err
	}
	defer func() { _ = fresh.conn.Close() }()
	w.record.say("on a new connection a request with a head of %d bytes is answered %d", longHead, fresh.post(w, longHead))
	w.record.say("of %d requests %d were served; others by status %v", sent, served, denied)
	if served == 0 {
		return false, errNothingServed
	}
	return count4xx <= allowed+sent/500, nil
}
