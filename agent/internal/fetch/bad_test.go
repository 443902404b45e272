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

// The faults of the benchmark. All but the last two strike the second host, or
// its sending, a quarter of T* after the start.
const (
	faultNone    = "none"
	faultKill    = "kill"
	faultStall   = "stall"
	faultSlow    = "slow"
	faultCorrupt = "corrupt"
	faultStore   = "store"
	faultPart    = "partition"
	// faultLink leaves the second host a quarter of its link, both ways.
	faultLink = "slowlink"
	linkShare = 4
	// slowShare is how many times longer a slow sender takes on purpose.
	slowShare = 20
)

// benchFault brings a fault about in a roll-out.
type benchFault struct {
	rollout rollout
	fleet   *fleet
	start   time.Time
}

func (k *benchFault) bad() *node { return k.fleet.nodes[1] }

func (k *benchFault) isBad(at netip.AddrPort) bool {
	return k.rollout.fault == faultKill && at == k.bad().host.Address
}

// struck reports whether the fault has begun.
func (k *benchFault) struck() bool { return time.Since(k.start) > k.rollout.bound()/4 }

// healed reports whether a fault that passes has passed.
func (k *benchFault) healed() bool { return time.Since(k.start) > k.rollout.bound()/2 }

// begin brings about the faults that lie in the links.
func (k *benchFault) begin() {
	k.start = time.Now()
	if k.rollout.fault != faultLink {
		return
	}
	time.AfterFunc(k.rollout.bound()/4, func() {
		for _, l := range []*memnet.Link{k.bad().up, k.bad().down} {
			l.Limit(k.rollout.rates().host / linkShare)
		}
	})
}

// isSlow reports whether the time of the host counts apart.
func (k *benchFault) isSlow(n *node) bool { return k.rollout.fault == faultLink && n == k.bad() }

// contextOf returns the context of a host's fetch.
func (k *benchFault) contextOf(ctx context.Context, n *node) (context.Context, context.CancelFunc) {
	if k.isBad(n.host.Address) {
		return context.WithTimeout(ctx, k.rollout.bound()/4)
	}
	return context.WithCancel(ctx)
}

// store is the fault of a store that refuses for a while.
func (k *benchFault) store(hosts.Name, chunks.Range) error {
	if k.rollout.fault == faultStore && k.struck() && !k.healed() {
		return &edges.RefusedError{Status: 503, RetryAfter: time.Second}
	}
	return nil
}

func (k *benchFault) wrap(p fetch.Peers, n *node) fetch.Peers {
	if k.rollout.fault == faultNone {
		return p
	}
	return &badPeers{Peers: p, fault: k, node: n}
}

// badPeers is a host's reach of the others under a fault.
type badPeers struct {
	fetch.Peers
	fault *benchFault
	node  *node
}

// isCut reports whether a partition lies between the hosts.
func (y *badPeers) isCut(at netip.AddrPort) bool {
	k := y.fault
	if k.rollout.fault != faultPart || !k.struck() || k.healed() {
		return false
	}
	there := k.fleet.byAddr[at.Addr()].host.Place.Region
	return (there == "region2") != (y.node.host.Place.Region == "region2")
}

// Chunk implements fetch.Peers.
func (y *badPeers) Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, most int64) (fetch.Delivery, error) {
	k := y.fault
	if y.isCut(at) {
		<-ctx.Done()
		return fetch.Delivery{}, ctx.Err()
	}
	if at != k.bad().host.Address || !k.struck() {
		return y.Peers.Chunk(ctx, at, digest, most)
	}
	switch k.rollout.fault {
	case faultKill:
		return fetch.Delivery{}, errUnreachable
	case faultStall:
		<-ctx.Done()
		return fetch.Delivery{}, ctx.Err()
	case faultSlow:
		if !waitFor(ctx, slowShare*pieceTime/2) {
			return fetch.Delivery{}, ctx.Err()
		}
	}
	d, err := y.Peers.Chunk(ctx, at, digest, most)
	if k.rollout.fault == faultCorrupt && err == nil {
		d.Data = make([]byte, len(d.Data))
	}
	return d, err
}

// Watch implements fetch.Peers.
func (y *badPeers) Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, heard func(swarm.Holdings)) error {
	k := y.fault
	return y.Peers.Watch(ctx, at, manifest, pieces, func(o swarm.Holdings) {
		if y.isCut(at) || k.isBad(at) && k.struck() {
			return
		}
		heard(o)
	})
}
