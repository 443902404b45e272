package fetch_test

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/agent/internal/fetch"
	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/peer"
	"currantport.example/core/swarm"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
)

// The steps of a distribution at which a fault may occur. stepReport is a report of held
// pieces on its way, stepPeerManifest a request for a manifest to a peer.
const (
	stepManifest     trial.Step = "manifest"
	stepOrigin       trial.Step = "origin"
	stepPeer         trial.Step = "peer"
	stepCheck        trial.Step = "check"
	stepReport       trial.Step = "pass"
	stepPeerManifest trial.Step = "told"
)

const (
	// lie sends what isn't true: another manifest, or a report of all pieces.
	lie  trial.Fault = "lie"
	slow trial.Fault = "slow"

	trialHosts      = 8
	trialPieces     = 24
	trialChunkBytes = 4 << 10
	// trialTimeout is the time within which a roll-out with faults must end.
	trialTimeout = 3 * time.Minute
	pauseTime    = 20 * time.Second
)

// faultInjector injects the faults of the script at the steps of a fleet.
type faultInjector struct {
	fleet  *fleet
	script *trial.Script
	mutex  sync.Mutex
	killed map[hosts.Name]bool
}

// beforeRead is called before each read of the origin.
func (f *faultInjector) beforeRead(h hosts.Name, part chunks.Range) error {
	step := stepOrigin
	if part.Path == "" {
		step = stepManifest
	}
	switch f.script.NextFault(step) {
	case trial.Kill:
		f.kill(h)
		return errOriginDown
	case trial.Pause, slow:
		time.Sleep(pauseTime)
	case trial.Silence:
		return context.Canceled
	case trial.Refuse:
		return &edges.RefusedError{Status: 503, RetryAfter: 2 * time.Second}
	case trial.Corrupt:
		return &corruptError{}
	}
	return nil
}

// kill ends a host for good.
func (f *faultInjector) kill(h hosts.Name) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.killed[h] = true
	for _, n := range f.fleet.nodes {
		if n.host.Name == h {
			f.fleet.network.Kill(n.host.Address.Addr())
			n.cancel()
		}
	}
}

func (f *faultInjector) isKilled(h hosts.Name) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.killed[h]
}

// faultyPeers reaches the other hosts from one host, with faults.
type faultyPeers struct {
	fetch.Peers
	injector *faultInjector
	node     *node
}

// Chunk implements fetch.Peers.
func (p *faultyPeers) Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, maxBytes int64) (fetch.Delivery, error) {
	sender := p.injector.fleet.nodesByAddr[at.Addr()]
	if p.injector.isKilled(p.node.host.Name) {
		return fetch.Delivery{}, errUnreachable
	}
	f := p.injector.script.NextFault(stepPeer)
	switch f {
	case trial.Kill:
		p.injector.kill(sender.host.Name)
	case trial.Pause, slow:
		if !waitFor(ctx, pauseTime) {
			return fetch.Delivery{}, ctx.Err()
		}
	case trial.Silence:
		p.injector.fleet.network.SilenceOpen(p.node.host.Address.Addr(), at.Addr())
	case trial.Refuse:
		return fetch.Delivery{}, errUnreachable
	case trial.Cut:
		p.injector.fleet.network.Cut(p.node.host.Address.Addr(), at.Addr())
	}
	d, err := p.Peers.Chunk(ctx, at, digest, maxBytes)
	if err != nil {
		return d, err
	}
	return p.check(d)
}

// Manifest implements fetch.Peers.
func (p *faultyPeers) Manifest(ctx context.Context, at netip.AddrPort, digest chunks.Digest, wait time.Duration) ([]byte, error) {
	sender := p.injector.fleet.nodesByAddr[at.Addr()]
	f := p.injector.script.NextFault(stepPeerManifest)
	switch f {
	case trial.Kill:
		p.injector.kill(sender.host.Name)
	case trial.Pause, slow:
		if !waitFor(ctx, pauseTime) {
			return nil, ctx.Err()
		}
	case trial.Silence:
		p.injector.fleet.network.SilenceOpen(p.node.host.Address.Addr(), at.Addr())
	case trial.Refuse:
		return nil, errUnreachable
	case lie:
		return newWeights(2, trialPieces, trialChunkBytes).encoded, nil
	case trial.Corrupt:
		return []byte("{"), nil
	}
	return p.Peers.Manifest(ctx, at, digest, wait)
}

// check injects faults after a chunk has arrived and before it is verified.
func (p *faultyPeers) check(d fetch.Delivery) (fetch.Delivery, error) {
	switch p.injector.script.NextFault(stepCheck) {
	case trial.Corrupt:
		d.Data = append([]byte{1}, d.Data[1:]...)
		d.Data[0] ^= 0xff
	case trial.Pause:
		time.Sleep(pauseTime)
	case trial.Kill:
		p.injector.kill(p.node.host.Name)
		return d, errUnreachable
	}
	return d, nil
}

// Watch implements fetch.Peers.
func (p *faultyPeers) Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, receive func(swarm.Holdings)) error {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	return p.Peers.Watch(watchCtx, at, manifest, pieces, func(h swarm.Holdings) {
		switch p.injector.script.NextFault(stepReport) {
		case trial.Refuse:
			cancel()
			return
		case trial.Corrupt:
			h = swarm.Holdings{Full: true, Held: swarm.UnpackBits([]byte{0xa5}, pieces), Frontier: 1 << 30, Added: []int{-1, 1 << 30}}
		case slow:
			waitFor(ctx, pauseTime/2)
		case lie:
			for i := range pieces {
				h.Added = append(h.Added, i)
			}
		case trial.Pause:
			waitFor(ctx, pauseTime)
		case trial.Kill:
			p.injector.kill(p.injector.fleet.nodesByAddr[at.Addr()].host.Name)
		case trial.Silence:
			p.injector.fleet.network.Silence(p.node.host.Address.Addr(), at.Addr())
		}
		receive(h)
	})
}

func waitFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// faultCases returns each fault at the steps at which it can occur. pairCases combines
// them.
func faultCases() []trial.Case {
	all := trial.Singles([]trial.Step{stepManifest, stepOrigin}, []trial.Fault{trial.Kill, trial.Pause, trial.Silence, trial.Refuse, trial.Corrupt})
	all = append(all, trial.Singles([]trial.Step{stepPeer}, []trial.Fault{trial.Kill, trial.Pause, trial.Silence, trial.Refuse, trial.Cut, slow})...)
	all = append(all, trial.Singles([]trial.Step{stepCheck}, []trial.Fault{trial.Kill, trial.Pause, trial.Corrupt})...)
	return append(all, trial.Singles([]trial.Step{stepReport}, []trial.Fault{trial.Kill, trial.Pause, trial.Silence, lie})...)
}

// lateCases returns further faults, which pairCases doesn't combine: adding them to
// faultCases would change the pairs.
func lateCases() []trial.Case {
	all := trial.Singles([]trial.Step{stepPeerManifest}, []trial.Fault{trial.Kill, trial.Pause, trial.Silence, trial.Refuse, trial.Corrupt, lie, slow})
	all = append(all, trial.Singles([]trial.Step{stepManifest, stepOrigin}, []trial.Fault{slow})...)
	return append(all, trial.Singles([]trial.Step{stepReport}, []trial.Fault{trial.Refuse, trial.Corrupt, slow})...)
}

// pairCases returns every seventh pair of single faults.
func pairCases() []trial.Case {
	singles := faultCases()
	var all []trial.Case
	for i, a := range singles {
		for _, b := range singles[i+1:] {
			if a[0].Step != b[0].Step && (len(all)+i)%7 == 0 {
				all = append(all, trial.Case{a[0], b[0]})
			} else if a[0].Step != b[0].Step {
				i++
			}
		}
	}
	return all
}

func TestDistributionUnderFault(t *testing.T) {
	cases := append([]trial.Case{nil}, faultCases()...)
	cases = append(cases, lateCases()...)
	trial.RunParallel(t, append(cases, pairCases()...), testDistribution)
}

func testDistribution(t *testing.T, s *trial.Script) {
	w := newWeights(1, trialPieces, trialChunkBytes)
	f := newFleet(shape{hosts: trialHosts, domains: 2, rates: rates{origin: 256 << 10, host: 128 << 10}}, w)
	k := &faultInjector{fleet: f, script: s, killed: map[hosts.Name]bool{}}
	f.origin.beforeRead = k.beforeRead
	f.wrap = func(p fetch.Peers, n *node) fetch.Peers { return &faultyPeers{Peers: p, injector: k, node: n} }
	f.startAll()
	defer f.stopAll()
	took := f.fetchAll(t, w, tables.FavorOrigin, trialTimeout, func(n *node) bool { return k.isKilled(n.host.Name) })
	for _, n := range f.nodes {
		if !k.isKilled(n.host.Name) {
			checkWhole(t, n, w)
		}
	}
	if want := strings.Count(t.Name(), "-at-"); len(s.Injected()) != want {
		t.Errorf("%d of %d faults were reached: %v", len(s.Injected()), want, s.Injected())
	}
	if copies := float64(f.origin.bytes) / float64(w.bytes); copies > 1.5 {
		t.Errorf("%.2f copies were read from the origin, took %s", copies, took)
	}
}

// fetchAll fetches the version at every host and returns how long the last one took.
// Excused hosts may fail.
func (f *fleet) fetchAll(t *testing.T, w *weights, favor tables.Favor, timeout time.Duration, excused func(n *node) bool) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	start := time.Now()
	var group sync.WaitGroup
	var last time.Duration
	var mutex sync.Mutex
	contexts := make([]context.Context, len(f.nodes))
	for i, n := range f.nodes {
		contexts[i], n.cancel = context.WithCancel(ctx)
	}
	for i, n := range f.nodes {
		group.Go(func() {
			fetchCtx := contexts[i]
			defer n.cancel()
			_, err := n.fetcher.Fetch(fetchCtx, f.pool(w, favor))
			mutex.Lock()
			defer mutex.Unlock()
			if excused(n) {
				return
			}
			last = max(last, time.Since(start))
			if err != nil {
				t.Errorf("%s: %v", n.host.Name, err)
			}
		})
	}
	group.Wait()
	return last
}

func (f *fleet) startAll() {
	for _, n := range f.nodes {
		f.start(n, f.sourceFor(n))
	}
	time.Sleep(time.Second)
}

func noneExcused(*node) bool { return false }

func TestWatchesEndWithTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := peer.NewServer(cache.New(), nil)
		time.AfterFunc(time.Second, stop)
		start := time.Now()
		err := s.Watch(t.Context(), chunks.Digest{}, func(swarm.Holdings) error { return nil })
		if took := time.Since(start); took != time.Second || !errors.Is(err, peer.ErrStopped) {
			t.Errorf("the watch ended after %s: %v", took, err)
		}
	})
}

func TestOnlyCheckedBytesAreKept(t *testing.T) {
	c := cache.New()
	if err := c.Add(chunks.Sum([]byte("a")), []byte("b")); err == nil {
		t.Error("bytes with another digest were kept")
	}
}

func TestMissingChunkIsReportedAndRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWeights(1, trialPieces, trialChunkBytes)
		f := newFleet(shape{hosts: trialHosts}, w)
		var mutex sync.Mutex
		present := false
		f.origin.beforeRead = func(_ hosts.Name, part chunks.Range) error {
			mutex.Lock()
			defer mutex.Unlock()
			if part.Offset == 5*trialChunkBytes && !present {
				return edges.ErrNotFound
			}
			return nil
		}
		f.startAll()
		defer f.stopAll()
		var group sync.WaitGroup
		group.Go(func() { f.fetchAll(t, w, tables.FavorOrigin, 10*time.Minute, noneExcused) })
		time.Sleep(2 * time.Minute)
		reported := 0
		for _, n := range f.nodes {
			p := n.fetcher.Progress(w.digest)
			if p.Held != trialPieces-1 {
				t.Errorf("%s holds %d chunks apart from the missing one", n.host.Name, p.Held)
			}
			if p.Error != "" {
				reported++
			}
		}
		if reported == 0 {
			t.Error("no host reports that a chunk is missing")
		}
		mutex.Lock()
		present = true
		mutex.Unlock()
		group.Wait()
		for _, n := range f.nodes {
			checkWhole(t, n, w)
		}
	})
}

// fillCache adds the version to the cache of the host, without one piece unless skip is
// negative.
func (n *node) fillCache(t *testing.T, w *weights, skip int) {
	t.Helper()
	v, err := n.cache.AddManifest(w.digest, w.encoded)
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range v.Pieces {
		r := p.Range
		if i == skip {
			continue
		}
		if err := n.cache.Add(p.Digest, bytes.Clone(w.files[r.Path][r.Offset:r.Offset+r.Length])); err != nil {
			t.Fatal(err)
		}
	}
}

func TestChunkMissingInPartitionIsReportedAndFetchedAfterHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const missing = 5
		w := newWeights(1, trialPieces, trialChunkBytes)
		f := newFleet(shape{hosts: trialHosts, regions: 2, remoteDelay: time.Millisecond}, w)
		f.origin.beforeRead = func(hosts.Name, chunks.Range) error { return errOriginDown }
		f.startAll()
		defer f.stopAll()
		forRemotePairs := func(act func(a, b netip.Addr)) {
			for i, n := range f.nodes {
				for _, o := range f.nodes[:i] {
					if n.host.Place.Region != o.host.Place.Region {
						act(n.host.Address.Addr(), o.host.Address.Addr())
					}
				}
			}
		}
		forRemotePairs(f.network.Silence)
		for i, n := range f.nodes {
			n.fillCache(t, w, map[int]int{0: -1, 1: missing}[i%2])
		}
		var group sync.WaitGroup
		group.Go(func() { f.fetchAll(t, w, tables.FavorOrigin, 10*time.Minute, noneExcused) })
		time.Sleep(4 * time.Minute)
		reported := 0
		for i, n := range f.nodes {
			p := n.fetcher.Progress(w.digest)
			if want := trialPieces - i%2; p.Held != want {
				t.Errorf("%s holds %d chunks in the partition, want %d", n.host.Name, p.Held, want)
			}
			if p.Error != "" {
				reported++
			}
		}
		if reported == 0 {
			t.Error("no host reports that a chunk is missing")
		}
		forRemotePairs(f.network.Heal)
		healed := time.Now()
		group.Wait()
		if took := time.Since(healed); took > 2*time.Minute {
			t.Errorf("the chunk arrived %s after the heal", took)
		}
		for _, n := range f.nodes {
			checkWhole(t, n, w)
		}
	})
}
