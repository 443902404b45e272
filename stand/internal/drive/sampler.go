package drive

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/calls"
	"currantport.example/core/shell"
	"currantport.example/core/wire"
)

const (
	readyShare = 0.5
	sampleWait = 100 * time.Millisecond
	askTimeout = time.Second
)

// sampler watches which share of the engines is ready.
type sampler struct {
	driver *driver

	mutex sync.Mutex
	// least is the smallest share that was seen.
	least float64
}

// startSampler begins to watch until the returned function is called.
func startSampler(d *driver) (*sampler, func()) {
	s := &sampler{driver: d, least: 1}
	g := shell.NewGroup()
	g.Go(s.run)
	return s, g.Stop
}

func (s *sampler) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.sample(ctx)
		select {
		case <-time.After(sampleWait):
		case <-ctx.Done():
		}
	}
}

// sample asks all gates at the same time.
func (s *sampler) sample(ctx context.Context) {
	var group sync.WaitGroup
	var asked []*gateCall
	for _, h := range s.driver.plan.Hosts {
		if h.Kind != "engine" {
			continue
		}
		g := &gateCall{driver: s.driver, address: h.Address}
		asked = append(asked, g)
		group.Go(func() { g.run(ctx) })
	}
	group.Wait()
	if ctx.Err() != nil {
		return
	}
	ready := 0
	for _, g := range asked {
		if g.ready {
			ready++
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.least = min(s.least, float64(ready)/float64(len(asked)))
}

// check returns an error if too few engines were ready at some time or a request
// found none.
func (s *sampler) check(reasons map[string]int) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.least < readyShare {
		return fmt.Errorf("only %.2f of the engines were ready at some time, of %.2f", s.least, readyShare)
	}
	for _, r := range []calls.Reason{calls.ReasonNoUpstream, calls.ReasonVersion} {
		if n := reasons[string(calls.OutcomeNotRun)+"/"+string(r)]; n > 0 {
			return fmt.Errorf("%d requests found no upstream: %s", n, r)
		}
	}
	return nil
}

// gateCall asks one gate whether its upstream is ready.
type gateCall struct {
	driver  *driver
	address netip.AddrPort
	ready   bool
}

func (g *gateCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c := wire.NewGateClient(g.driver.peers, "http://"+g.address.String())
	r, err := c.Load(ctx, connect.NewRequest(&wire.LoadRequest{}))
	g.ready = err == nil && r.Msg.Manifest != ""
}
