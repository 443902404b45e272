package httpd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"currantport.example/core/state"
	"currantport.example/entry/internal/httpd"
)

// limitChange sets the limit on idle connections at a time after the last response.
type limitChange struct {
	at, limit time.Duration
}

// idleCase has a client send a request on a connection that was idle for a while.
type idleCase struct {
	changes []limitChange
	sendAt  time.Duration
	// split is the number of bytes of the first piece of the request, or zero. The rest follows after gap.
	split int
	gap   time.Duration
}

const idleRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// run returns the error of the request.
func (c *idleCase) run(t *testing.T) error {
	t.Helper()
	var err error
	play(t, func(s *httpd.Server, connect func() *client) {
		s.SetLimits(state.Limits{IdleTimeout: 2 * time.Second})
		k := connect()
		if status, _, err := k.request(); err != nil || status != http.StatusOK {
			t.Errorf("the first request: %d, %v", status, err)
		}
		for _, g := range c.changes {
			time.AfterFunc(g.at, func() { s.SetLimits(state.Limits{IdleTimeout: g.limit}) })
		}
		time.Sleep(c.sendAt)
		err = k.sendInPieces(c.split, c.gap)
	})
	return err
}

// sendInPieces sends a request in two pieces and reads the response.
func (c *client) sendInPieces(split int, gap time.Duration) error {
	if split > 0 {
		if _, err := io.WriteString(c.conn, idleRequest[:split]); err != nil {
			return err
		}
		time.Sleep(gap)
	}
	if _, err := io.WriteString(c.conn, idleRequest[split:]); err != nil {
		return err
	}
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	return nil
}

// TestOpenConnectionIsNotClosedByAnIdleLimitThatWasRaised guards against connections that end by the limit
// with which they were accepted, although a longer one is in force.
func TestOpenConnectionIsNotClosedByAnIdleLimitThatWasRaised(t *testing.T) {
	total, lost := 0, 0
	for name, changes := range map[string][]limitChange{
		"raised":                    {{0, 6 * time.Second}},
		"raised at the end":         {{1900 * time.Millisecond, 6 * time.Second}},
		"raised twice":              {{500 * time.Millisecond, 4 * time.Second}, {1500 * time.Millisecond, 6 * time.Second}},
		"raised in steps":           {{time.Second, 3 * time.Second}, {2900 * time.Millisecond, 6 * time.Second}},
		"lowered, then raised":      {{100 * time.Millisecond, time.Second}, {200 * time.Millisecond, 6 * time.Second}},
		"raised, the same again":    {{0, 6 * time.Second}, {time.Second, 6 * time.Second}},
		"raised, undone and raised": {{0, 6 * time.Second}, {time.Second, 2 * time.Second}, {1100 * time.Millisecond, 6 * time.Second}},
	} {
		for _, sendAt := range []time.Duration{
			2400 * time.Millisecond, 2498 * time.Millisecond, 2499 * time.Millisecond, 2500 * time.Millisecond, 2501 * time.Millisecond, 2600 * time.Millisecond,
			4 * time.Second, 5900 * time.Millisecond, 6 * time.Second,
		} {
			for _, split := range []int{0, 1, 3, 4, len(idleRequest) - 1} {
				c := idleCase{changes: changes, sendAt: sendAt, split: split, gap: 600 * time.Millisecond}
				total++
				if err := c.run(t); err != nil {
					lost++
					t.Errorf("%s, sent after %v, first piece %d: %v", name, sendAt, split, err)
				}
			}
		}
	}
	t.Logf("%d of %d requests got no response", lost, total)
}

// TestHeadThatBeganBeforeTheIdleLimitIsRead has the first bytes of a head arrive just before the limit.
func TestHeadThatBeganBeforeTheIdleLimitIsRead(t *testing.T) {
	total, lost := 0, 0
	for split := 1; split <= 5; split++ {
		for _, gap := range []time.Duration{time.Millisecond, 20 * time.Millisecond, time.Second, 9 * time.Second} {
			for _, changes := range [][]limitChange{nil, {{time.Second, 2 * time.Second}}, {{time.Second, time.Second}}} {
				c := idleCase{changes: changes, sendAt: 2490 * time.Millisecond, split: split, gap: gap}
				total++
				if err := c.run(t); err != nil {
					lost++
					t.Errorf("changes %v, first piece %d, the rest after %v: %v", changes, split, gap, err)
				}
			}
		}
	}
	t.Logf("%d of %d requests got no response", lost, total)
}

// TestIdleConnectionsAreClosed checks that connections end by the longer of the two limits.
func TestIdleConnectionsAreClosed(t *testing.T) {
	for name, c := range map[string]struct {
		changes []limitChange
		want    time.Duration
	}{
		"no change":            {nil, 2500 * time.Millisecond},
		"raised":               {[]limitChange{{time.Second, 4 * time.Second}}, 4500 * time.Millisecond},
		"raised, then lowered": {[]limitChange{{time.Second, 4 * time.Second}, {1500 * time.Millisecond, time.Second}}, 2500 * time.Millisecond},
		"raised, then removed": {[]limitChange{{time.Second, 4 * time.Second}, {1500 * time.Millisecond, 0}}, time.Minute},
	} {
		play(t, func(s *httpd.Server, connect func() *client) {
			s.SetLimits(state.Limits{IdleTimeout: 2 * time.Second})
			k := connect()
			if _, _, err := k.request(); err != nil {
				t.Error(err)
			}
			began := time.Now()
			for _, g := range c.changes {
				time.AfterFunc(g.at, func() { s.SetLimits(state.Limits{IdleTimeout: g.limit}) })
			}
			_, err := k.reader.ReadByte()
			if took := time.Since(began); err != io.EOF || took < c.want-10*time.Millisecond || took > c.want+10*time.Millisecond {
				t.Errorf("%s: the connection ended after %v: %v", name, took, err)
			}
		})
	}
}

// TestHeadMayTakeTheRaisedTimeout raises the limit on the time for a head while one arrives.
func TestHeadMayTakeTheRaisedTimeout(t *testing.T) {
	for _, split := range []int{1, 4, 20} {
		play(t, func(s *httpd.Server, connect func() *client) {
			s.SetLimits(state.Limits{HeaderTimeout: time.Second})
			k := connect()
			if _, _, err := k.request(); err != nil {
				t.Error(err)
			}
			time.AfterFunc(500*time.Millisecond, func() { s.SetLimits(state.Limits{HeaderTimeout: 5 * time.Second}) })
			if err := k.sendInPieces(split, 4*time.Second); err != nil {
				t.Errorf("first piece %d: %v", split, err)
			}
			if err := k.sendInPieces(split, 6*time.Second); split > 3 && err == nil {
				t.Errorf("first piece %d: a head may take longer than the timeout", split)
			}
		})
	}
}

// starvedConn is a connection of a process that isn't scheduled. Reads see only that their deadline has
// passed, while what was received can be read without waiting.
type starvedConn struct {
	net.Conn
	isStarved *atomic.Bool

	mutex    sync.Mutex
	deadline time.Time
}

// TryRead reads without waiting.
func (c *starvedConn) TryRead(p []byte) (int, error) {
	return c.Conn.(interface {
		TryRead(p []byte) (int, error)
	}).TryRead(p)
}

func (c *starvedConn) Read(p []byte) (int, error) {
	for c.isStarved.Load() {
		if c.hasExpired() {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(time.Millisecond)
	}
	return c.Conn.Read(p)
}

func (c *starvedConn) hasExpired() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.deadline.IsZero() && !c.deadline.After(time.Now())
}

func (c *starvedConn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

type starvedListener struct {
	net.Listener
	isStarved atomic.Bool
}

func (l *starvedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &starvedConn{Conn: c, isStarved: &l.isStarved}, nil
}

// TestRequestReceivedBeforeTheIdleLimitIsServedByABusyServer guards against a server that sees the end of the
// limit first, although a request was received before.
func TestRequestReceivedBeforeTheIdleLimitIsServedByABusyServer(t *testing.T) {
	for _, split := range []int{0, 1, 3, 4, 20} {
		starved := &starvedListener{}
		options := func(l net.Listener) httpd.Options {
			starved.Listener = l
			return httpd.Options{Listener: starved, Handler: http.HandlerFunc(respondByMethod), Refuse: http.HandlerFunc(refuse)}
		}
		playWith(t, options, func(s *httpd.Server, connect func() *client, _ func()) {
			s.SetLimits(state.Limits{IdleTimeout: 2 * time.Second})
			k := connect()
			time.AfterFunc(500*time.Millisecond, func() { starved.isStarved.Store(true) })
			if status, _, err := k.request(); err != nil || status != http.StatusOK {
				t.Errorf("%d, %v", status, err)
			}
			time.Sleep(2400 * time.Millisecond)
			time.AfterFunc(200*time.Millisecond, func() { starved.isStarved.Store(false) })
			if err := k.sendInPieces(split, 300*time.Millisecond); err != nil {
				t.Errorf("first piece %d: %v", split, err)
			}
		})
	}
}
