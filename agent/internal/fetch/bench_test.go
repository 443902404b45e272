package fetch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/memnet"
	"currantport.example/core/swarm"
	"currantport.example/core/tables"
)

const (
	benchPieces = 256
	// largeFleetPieces is the number of chunks in fleets of more than largeFleetHosts.
	largeFleetPieces = 160
	largeFleetHosts  = 500
	benchChunkBytes  = 32 << 10
	// pieceTime is the part of one chunk in the time T in which the origin sends four
	// copies of the version and a host two.
	pieceTime = time.Minute / benchPieces
	// benchTimeout limits a run in virtual time.
	benchTimeout = 24 * time.Hour
)

// rollout is one line of the benchmark.
type rollout struct {
	scheme  string
	favor   tables.Favor
	hosts   int
	regions int
	fault   string
	direct  bool
	// narrow means that the link between two regions carries half a copy in the time T
	// instead of two.
	narrow bool
	limits swarm.Limits
}

// measure holds the results of a roll-out.
type measure struct {
	took time.Duration
	// slowHost is the time of the host that is measured separately.
	slowHost time.Duration
	origin   float64
	region   float64
	control  float64
	failed   int
}

// recordEnd records that the fetch of a host has ended.
func (m *measure) recordEnd(k *benchFault, n *node) {
	if took := time.Since(k.startedAt); k.isSlow(n) {
		m.slowHost = took
	} else {
		m.took = max(m.took, took)
	}
}

func BenchmarkRollout(b *testing.B) {
	for _, r := range rollouts() {
		b.Run(fmt.Sprintf("%s-%s-%d-%d-%s-%t-%t", r.scheme, r.favor, r.hosts, r.regions, r.fault, r.narrow, r.direct), func(b *testing.B) {
			var m measure
			for b.Loop() {
				m = r.run()
			}
			fmt.Printf("bench=rollout scheme=%s favor=%s hosts=%d regions=%d fault=%s time=%.2f origin=%.2f region=%.2f control=%.0f failed=%d thin=%t direct=%t slow=%.2f\n",
				r.scheme, r.favor, r.hosts, r.regions, r.fault, float64(m.took)/float64(r.lowerBound()), m.origin, m.region, m.control, m.failed, r.narrow, r.direct, float64(m.slowHost)/float64(r.lowerBound()))
		})
	}
}

func rollouts() []rollout {
	both := []tables.Favor{tables.FavorTime, tables.FavorOrigin}
	var all []rollout
	for _, n := range []int{15, 128} {
		for _, s := range []string{"origin", "tree"} {
			all = append(all, rollout{scheme: s, favor: tables.FavorTime, hosts: n, regions: 1, fault: faultNone, direct: n > 15})
		}
	}
	for _, n := range []int{15, 128, 500, 1500} {
		for _, v := range both[:min(2, 1+128/n)] {
			all = append(all, rollout{scheme: "swarm", favor: v, hosts: n, regions: 1, fault: faultNone, direct: n > 15})
		}
	}
	for _, v := range both {
		all = append(all, rollout{scheme: "swarm", favor: v, hosts: 60, regions: 3, fault: faultNone, direct: true})
		all = append(all, rollout{scheme: "swarm", favor: v, hosts: 15, regions: 3, fault: faultNone, direct: true, narrow: true})
	}
	for _, f := range []string{faultKill, faultStall, faultSlow, faultLink, faultCorrupt, faultStore} {
		all = append(all, rollout{scheme: "swarm", favor: tables.FavorTime, hosts: 60, regions: 1, fault: f, direct: true})
	}
	return append(all, rollout{scheme: "swarm", favor: tables.FavorTime, hosts: 60, regions: 3, fault: faultPartition, direct: true})
}

// BenchmarkRivals compares request orders and numbers of neighbors.
func BenchmarkRivals(b *testing.B) {
	var all []swarm.Limits
	for _, n := range []int{4, 8, 16, 32} {
		all = append(all, swarm.Limits{Order: swarm.OrderRarest, Neighbors: n})
	}
	all = append(all, swarm.Limits{Order: swarm.OrderRandom, Neighbors: 8}, swarm.Limits{Order: swarm.OrderSequential, Neighbors: 8})
	for _, l := range all {
		b.Run(fmt.Sprintf("%s-%d", l.Order, l.Neighbors), func(b *testing.B) {
			r := rollout{scheme: "swarm", favor: tables.FavorTime, hosts: 128, regions: 1, fault: faultNone, direct: true, limits: l}
			var m measure
			for b.Loop() {
				m = r.run()
			}
			fmt.Printf("bench=rivals order=%s neighbours=%d hosts=%d time=%.2f origin=%.2f control=%.0f\n",
				l.Order, l.Neighbors, r.hosts, float64(m.took)/float64(r.lowerBound()), m.origin, m.control)
		})
	}
}

func (r rollout) pieces() int {
	if r.hosts > largeFleetHosts {
		return largeFleetPieces
	}
	return benchPieces
}

func (r rollout) rates() rates {
	copies := benchChunkBytes / pieceTime.Seconds()
	if r.narrow {
		return rates{origin: memnet.Rate(4 * copies), host: memnet.Rate(2 * copies), region: memnet.Rate(copies / 2)}
	}
	return rates{origin: memnet.Rate(4 * copies), host: memnet.Rate(2 * copies), region: memnet.Rate(2 * copies)}
}

// lowerBound is the time that no scheme can beat, given the rates of the links.
func (r rollout) lowerBound() time.Duration {
	size := float64(r.pieces() * benchChunkBytes)
	l := r.rates()
	n := float64(r.hosts)
	seconds := max(size/float64(l.origin), size/float64(l.host), n*size/(float64(l.origin)+n*float64(l.host)))
	if r.regions > 1 {
		seconds = max(seconds, size/float64(l.region)/float64(r.regions-1))
	}
	return time.Duration(seconds * float64(time.Second))
}

func (r rollout) run() measure {
	var m measure
	synctest.Test(new(testing.T), func(*testing.T) { m = r.runInBubble() })
	return m
}

func (r rollout) runInBubble() measure {
	w := newWeights(1, r.pieces(), benchChunkBytes)
	f := newFleet(shape{hosts: r.hosts, regions: r.regions, domains: 3, rates: r.rates(), remoteDelay: 2 * time.Millisecond, window: benchChunkBytes, direct: r.direct}, w)
	f.limits = r.limits
	f.home = "region0"
	k := &benchFault{rollout: r, fleet: f}
	f.wrap = k.wrap
	f.origin.beforeRead = k.storeError
	for i, n := range f.nodes {
		f.start(n, r.sourceFor(f, i))
	}
	defer f.stopAll()
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	k.inject()
	var group sync.WaitGroup
	var mutex sync.Mutex
	var m measure
	for i, n := range f.nodes {
		group.Go(func() {
			ctx, cancel := k.contextOf(ctx, n)
			defer cancel()
			_, err := n.fetcher.Fetch(ctx, f.pool(w, r.favor, r.memberNames(f, i)...))
			mutex.Lock()
			defer mutex.Unlock()
			m.recordEnd(k, n)
			if err != nil && !k.isKilled(n.host.Address) {
				m.failed++
			}
		})
	}
	group.Wait()
	m.origin = float64(f.origin.bytes) / float64(w.bytes)
	m.control = f.controlBytes(w) / m.took.Seconds() / float64(r.hosts)
	for _, l := range f.regionLinks {
		m.region = max(m.region, float64(l.Bytes())/float64(w.bytes))
	}
	return m
}

// controlBytes returns the number of bytes that the hosts have sent apart from chunks.
func (f *fleet) controlBytes(w *weights) float64 {
	var sum float64
	for _, n := range f.nodes {
		if n.direct != nil {
			sum += float64(n.direct.controlBytes.Load())
			continue
		}
		p := n.fetcher.Progress(w.digest)
		sum += float64(n.up.Bytes()) - float64(p.PeerBytes)
	}
	return sum
}

// memberNames returns the members that a host knows: all, itself, or itself and its parent
// in a fixed binary tree.
func (r rollout) memberNames(f *fleet, i int) []hosts.Name {
	switch r.scheme {
	case "origin":
		return []hosts.Name{f.nodes[i].host.Name}
	case "tree":
		if i == 0 {
			return []hosts.Name{f.nodes[0].host.Name}
		}
		return []hosts.Name{f.nodes[i].host.Name, f.nodes[(i-1)/2].host.Name}
	}
	return nil
}

// sourceFor returns the origin. In a tree, only the root may read it.
func (r rollout) sourceFor(f *fleet, i int) chunks.Source {
	if r.scheme != "tree" || i == 0 {
		return f.sourceFor(f.nodes[i])
	}
	unavailable := &origin{versions: f.origin.versions, link: f.origin.link, beforeRead: func(hosts.Name, chunks.Range) error { return errOriginDown }}
	return &originReader{origin: unavailable, host: f.nodes[i].host.Name}
}
