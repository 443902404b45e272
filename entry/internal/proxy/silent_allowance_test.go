package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// longEvent takes most of what a stream may take of the allowance that all share.
func longEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 900<<10))
}

// longEventTime is longer than a long event takes in the simulated network.
const longEventTime = 500 * time.Millisecond

// allowanceCase has two upstreams write long events for the same stream.
type allowanceCase struct {
	begun bool
	// other is how long the second upstream is silent, way what else happens.
	other time.Duration
	way   string

	world *world
}

const allowanceRounds = 24

func (c *allowanceCase) script(w io.Writer, v visit) {
	isFirst := c.world.runs(v.id) == 1
	begin(w, v.id)
	switch {
	case v.id == "last":
	case !isFirst:
		time.Sleep(c.other)
	case c.begun:
		event(w, numbered(1))
		time.Sleep(silence)
	default:
		time.Sleep(silence)
	}
	if v.after == "" && (!c.begun || v.id == "last") {
		event(w, numbered(1))
	}
	if !isFirst && c.way == "breaks off" {
		event(w, longEvent(2)[:800<<10])
		return
	}
	event(w, longEvent(2))
	event(w, longEvent(3))
	end(w)
}

func (c *allowanceCase) run(t *testing.T) {
	t.Parallel()
	play(t, 2, c.script, func(w *world) {
		c.world = w
		for i := range allowanceRounds {
			c.round(t, i)
			time.Sleep(longEventTime)
			w.confirm()
		}
		if n := len(w.received()); n < 2*allowanceRounds {
			t.Errorf("%d attempts in %d rounds", n, allowanceRounds)
		}
		if a := w.request(context.Background(), "/flow/x", "Id", "last"); a.aborted || a.Code != http.StatusOK {
			t.Errorf("last: aborted %t, status %d, %d bytes", a.aborted, a.Code, a.Body.Len())
		}
		w.checkNothingLeft(t)
	})
}

func (c *allowanceCase) round(t *testing.T, i int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.way == "client leaves" {
		time.AfterFunc(silence+time.Duration(i)*longEventTime/allowanceRounds, cancel)
	}
	a := c.world.request(ctx, "/flow/x", "Id", fmt.Sprint("round", i))
	isWhole := !a.aborted && a.Body.String() == numbered(1)+longEvent(2)+longEvent(3)
	if mustBeWhole := c.way == "whole" || c.way == "breaks off" && c.begun; mustBeWhole && !isWhole {
		t.Errorf("round %d: aborted %t, status %d, %d bytes", i, a.aborted, a.Code, a.Body.Len())
	}
}

// TestLongEventsBesideASilentUpstreamReturnTheirAllowance has one of two upstreams dropped or break off, or
// both dropped as the client leaves. It guards against an allowance that runs out.
func TestLongEventsBesideASilentUpstreamReturnTheirAllowance(t *testing.T) {
	for _, begun := range []bool{false, true} {
		for _, other := range []time.Duration{0, silence - time.Second, silence - 500*time.Millisecond} {
			for _, way := range []string{"whole", "client leaves", "breaks off"} {
				c := &allowanceCase{begun: begun, other: other, way: way}
				t.Run(fmt.Sprintf("begun %t, other after %v, %s", begun, other, way), c.run)
			}
		}
	}
}
