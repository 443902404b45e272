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
	minReadyRatio  = 0.5
	sampleInterval = 100 * time.Millisecond
	probeTimeout   = time.Second
)

// sampler records the lowest ratio of engines that were ready at the same time.
type sampler struct {
	driver *driver

	mutex  sync.Mutex
	lowest float64
}

// startSampler starts a sampler that runs until the returned function is called.
func startSampler(d *driver) (*sampler, func()) {
	s := &sampler{driver: d, lowest: 1}
	g := shell.NewGroup()
	g.Go(s.run)
	return s, g.Stop
}

func (s *sampler) run(ctx context.Context) {
	for ctx.Err() == nil {
		s.sample(ctx)
		select {
		case <-time.After(sampleInterval):
		case <-ctx.Done():
		}
	}
}

// sample probes all gates concurrently.
func (s *sampler) sample(ctx context.Context) {
	var group sync.WaitGroup
	var probes []*gateProbe
	for _, h := range s.driver.plan.Hosts {
		if h.Kind != "engine" {
			continue
		}
		g := &gateProbe{driver: s.driver, address: h.Address}
		probes = append(probes, g)
		group.Go(func() { g.run(ctx) })
	}
	group.Wait()
	if ctx.Err() != nil {
		return
	}
	ready := 0
	for _, g := range probes {
		if g.ready {
			ready++
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lowest = min(s.lowest, float64(ready)/float64(len(probes)))
}

// check returns an error if too few engines were ready at some time or a request found no
// upstream. The reasons count outcomes, as OUTCOME/REASON.
func (s *sampler) check(reasons map[string]int) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lowest < minReadyRatio {
		return fmt.Errorf("only %.2f of the engines were ready at some time, want at least %.2f", s.lowest, minReadyRatio)
	}
	for _, r := range []calls.Reason{calls.ReasonNoUpstream, calls.ReasonVersion} {
		if n := reasons[string(calls.OutcomeNotRun)+"/"+string(r)]; n > 0 {
			return fmt.Errorf("%d requests found no upstream: %s", n, r)
		}
	}
	return nil
}

// gateProbe queries whether the upstream of one gate is ready.
type gateProbe struct {
	driver  *driver
	address netip.AddrPort
	ready   bool
}

func (g *gateProbe) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c := wire.NewGateClient(g.driver.peers, "http://"+g.address.String())
	r, err := c.Load(ctx, connect.NewRequest(&wire.LoadRequest{}))
	g.ready = err == nil && r.Msg.Manifest != ""
}
