package fetch_test

import (
	"context"
	"net/netip"
	"time"

	"currantport.example/agent/internal/fetch"
	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/memnet"
	"currantport.example/core/swarm"
)

// The faults of the benchmark. All but the last two affect the second host, or what it
// sends, after a quarter of rollout.lowerBound.
const (
	faultNone      = "none"
	faultKill      = "kill"
	faultStall     = "stall"
	faultSlow      = "slow"
	faultCorrupt   = "corrupt"
	faultStore     = "store"
	faultPartition = "partition"
	// faultLink limits the link of the second host to a quarter of its rate, both ways.
	faultLink   = "slowlink"
	linkDivisor = 4
	// slowFactor multiplies the transfer time of a slow sender.
	slowFactor = 20
)

// benchFault injects a fault into a roll-out.
type benchFault struct {
	rollout   rollout
	fleet     *fleet
	startedAt time.Time
}

// faulty returns the host that the fault affects.
func (f *benchFault) faulty() *node { return f.fleet.nodes[1] }

func (f *benchFault) isKilled(at netip.AddrPort) bool {
	return f.rollout.fault == faultKill && at == f.faulty().host.Address
}

// hasStarted reports whether the fault has started.
func (f *benchFault) hasStarted() bool { return time.Since(f.startedAt) > f.rollout.lowerBound()/4 }

// hasEnded reports whether a temporary fault has ended.
func (f *benchFault) hasEnded() bool { return time.Since(f.startedAt) > f.rollout.lowerBound()/2 }

// inject starts the clock of the fault, and schedules the one that affects links.
func (f *benchFault) inject() {
	f.startedAt = time.Now()
	if f.rollout.fault != faultLink {
		return
	}
	time.AfterFunc(f.rollout.lowerBound()/4, func() {
		for _, l := range []*memnet.Link{f.faulty().up, f.faulty().down} {
			l.SetRate(f.rollout.rates().host / linkDivisor)
		}
	})
}

// isSlow reports whether the time of the host is measured separately.
func (f *benchFault) isSlow(n *node) bool { return f.rollout.fault == faultLink && n == f.faulty() }

// contextOf returns the context for the fetch of a host.
func (f *benchFault) contextOf(ctx context.Context, n *node) (context.Context, context.CancelFunc) {
	if f.isKilled(n.host.Address) {
		return context.WithTimeout(ctx, f.rollout.lowerBound()/4)
	}
	return context.WithCancel(ctx)
}

// storeError returns the error of a store that refuses requests for a while.
func (f *benchFault) storeError(hosts.Name, chunks.Range) error {
	if f.rollout.fault == faultStore && f.hasStarted() && !f.hasEnded() {
		return &edges.RefusedError{Status: 503, RetryAfter: time.Second}
	}
	return nil
}

func (f *benchFault) wrap(p fetch.Peers, n *node) fetch.Peers {
	if f.rollout.fault == faultNone {
		return p
	}
	return &benchPeers{Peers: p, fault: f, node: n}
}

// benchPeers reaches the other hosts from one host under a fault.
type benchPeers struct {
	fetch.Peers
	fault *benchFault
	node  *node
}

// isCut reports whether a partition separates the hosts.
func (p *benchPeers) isCut(at netip.AddrPort) bool {
	k := p.fault
	if k.rollout.fault != faultPartition || !k.hasStarted() || k.hasEnded() {
		return false
	}
	region := k.fleet.nodesByAddr[at.Addr()].host.Place.Region
	return (region == "region2") != (p.node.host.Place.Region == "region2")
}

// Chunk implements fetch.Peers.
func (p *benchPeers) Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, maxBytes int64) (fetch.Delivery, error) {
	k := p.fault
	if p.isCut(at) {
		<-ctx.Done()
		return fetch.Delivery{}, ctx.Err()
	}
	if at != k.faulty().host.Address || !k.hasStarted() {
		return p.Peers.Chunk(ctx, at, digest, maxBytes)
	}
	switch k.rollout.fault {
	case faultKill:
		return fetch.Delivery{}, errUnreachable
	case faultStall:
		<-ctx.Done()
		return fetch.Delivery{}, ctx.Err()
	case faultSlow:
		if !waitFor(ctx, slowFactor*pieceTime/2) {
			return fetch.Delivery{}, ctx.Err()
		}
	}
	d, err := p.Peers.Chunk(ctx, at, digest, maxBytes)
	if k.rollout.fault == faultCorrupt && err == nil {
		d.Data = make([]byte, len(d.Data))
	}
	return d, err
}

// Watch implements fetch.Peers.
func (p *benchPeers) Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, receive func(swarm.Holdings)) error {
	k := p.fault
	return p.Peers.Watch(ctx, at, manifest, pieces, func(h swarm.Holdings) {
		if p.isCut(at) || k.isKilled(at) && k.hasStarted() {
			return
		}
		receive(h)
	})
}
