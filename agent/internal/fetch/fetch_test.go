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

// The steps of a distribution at which a fault may strike.
const (
	stepManifest trial.Step = "manifest"
	stepOrigin   trial.Step = "origin"
	stepPeer     trial.Step = "peer"
	stepCheck    trial.Step = "check"
	stepPass     trial.Step = "pass"
	// stepTold is the manifest's way from a peer.
	stepTold trial.Step = "told"
)

const (
	lie  trial.Fault = "lie"
	slow trial.Fault = "slow"

	trialHosts  = 8
	trialPieces = 24
	trialLength = 4 << 10
	// trialBound is when a roll-out under faults has ended at the latest.
	trialBound = 3 * time.Minute
	pauseTime  = 20 * time.Second
)

// struck carries out the fault that the script names at the steps of a fleet.
type struck struct {
	fleet  *fleet
	script *trial.Script
	mutex  sync.Mutex
	killed map[hosts.Name]bool
}

// origin is called before each read of the origin.
func (k *struck) origin(h hosts.Name, part chunks.Range) error {
	step := stepOrigin
	if part.Path == "" {
		step = stepManifest
	}
	switch k.script.Reach(step) {
	case trial.Kill:
		k.kill(h)
		return errDown
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

// kill ends a host for good, as a duty of its own.
func (k *struck) kill(h hosts.Name) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.killed[h] = true
	for _, n := range k.fleet.nodes {
		if n.host.Name == h {
			k.fleet.network.Kill(n.host.Address.Addr())
			n.end()
		}
	}
}

func (k *struck) isKilled(h hosts.Name) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.killed[h]
}

// faulty is a host's reach of the others, with faults.
type faulty struct {
	fetch.Peers
	strike *struck
	node   *node
}

// Chunk implements fetch.Peers.
func (y *faulty) Chunk(ctx context.Context, at netip.AddrPort, digest chunks.Digest, most int64) (fetch.Delivery, error) {
	sender := y.strike.fleet.byAddr[at.Addr()]
	if y.strike.isKilled(y.node.host.Name) {
		return fetch.Delivery{}, errUnreachable
	}
	f := y.strike.script.Reach(stepPeer)
	switch f {
	case trial.Kill:
		y.strike.kill(sender.host.Name)
	case trial.Pause, slow:
		if !waitFor(ctx, pauseTime) {
			return fetch.Delivery{}, ctx.Err()
		}
	case trial.Silence:
		y.strike.fleet.network.Forget(y.node.host.Address.Addr(), at.Addr())
	case trial.Refuse:
		return fetch.Delivery{}, errUnreachable
	case trial.Cut:
		y.strike.fleet.network.Cut(y.node.host.Address.Addr(), at.Addr())
	}
	d, err := y.Peers.Chunk(ctx, at, digest, most)
	if err != nil {
		return d, err
	}
	return y.check(d)
}

// Manifest implements fetch.Peers.
func (y *faulty) Manifest(ctx context.Context, at netip.AddrPort, digest chunks.Digest, wait time.Duration) ([]byte, error) {
	sender := y.strike.fleet.byAddr[at.Addr()]
	f := y.strike.script.Reach(stepTold)
	switch f {
	case trial.Kill:
		y.strike.kill(sender.host.Name)
	case trial.Pause, slow:
		if !waitFor(ctx, pauseTime) {
			return nil, ctx.Err()
		}
	case trial.Silence:
		y.strike.fleet.network.Forget(y.node.host.Address.Addr(), at.Addr())
	case trial.Refuse:
		return nil, errUnreachable
	case lie:
		return newWeights(2, trialPieces, trialLength).encoded, nil
	case trial.Corrupt:
		return []byte("{"), nil
	}
	return y.Peers.Manifest(ctx, at, digest, wait)
}

// check strikes when a chunk has come and isn't checked yet.
func (y *faulty) check(d fetch.Delivery) (fetch.Delivery, error) {
	switch y.strike.script.Reach(stepCheck) {
	case trial.Corrupt:
		d.Data = append([]byte{1}, d.Data[1:]...)
		d.Data[0] ^= 0xff
	case trial.Pause:
		time.Sleep(pauseTime)
	case trial.Kill:
		y.strike.kill(y.node.host.Name)
		return d, errUnreachable
	}
	return d, nil
}

// Watch implements fetch.Peers.
func (y *faulty) Watch(ctx context.Context, at netip.AddrPort, manifest chunks.Digest, pieces int, heard func(swarm.Holdings)) error {
	refused, refuse := context.WithCancel(ctx)
	defer refuse()
	return y.Peers.Watch(refused, at, manifest, pieces, func(o swarm.Holdings) {
		switch y.strike.script.Reach(stepPass) {
		case trial.Refuse:
			refuse()
			return
		case trial.Corrupt:
			o = swarm.Holdings{Full: true, Held: swarm.UnpackBits([]byte{0xa5}, pieces), Frontier: 1 << 30, Added: []int{-1, 1 << 30}}
		case slow:
			waitFor(ctx, pauseTime/2)
		case lie:
			for i := range pieces {
				o.Added = append(o.Added, i)
			}
		case trial.Pause:
			waitFor(ctx, pauseTime)
		case trial.Kill:
			y.strike.kill(y.strike.fleet.byAddr[at.Addr()].host.Name)
		case trial.Silence:
			y.strike.fleet.network.Silence(y.node.host.Address.Addr(), at.Addr())
		}
		heard(o)
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

// faultCases returns each fault at the steps at which it can occur.
func faultCases() []trial.Case {
	all := trial.Singles([]trial.Step{stepManifest, stepOrigin}, []trial.Fault{trial.Kill, trial.Pause, trial.Silence, trial.Refuse, trial.Corrupt})
	all = append(all, trial.Singles([]trial.Step{stepPeer}, []trial.Fault{trial.Kill, trial.Pause, trial.Silence, trial.Refuse, trial.Cut, slow})...)
	all = append(all, trial.Singles([]trial.Step{stepCheck}, []trial.Fault{trial.Kill, trial.Pause, trial.Corrupt})...)
	return append(all, trial.Singles([]trial.Step{stepPass}, []trial.Fault{trial.Kill, trial.Pause, trial.Silence, lie})...)
}

// lateCases returns the faults that were added after the pairs had been chosen.
func lateCases() []trial.Case {
	all := trial.Singles([]trial.Step{stepTold}, []trial.Fault{trial.Kill, trial.Pause, trial.Silence, trial.Refuse, trial.Corrupt, lie, slow})
	all = append(all, trial.Singles([]trial.Step{stepManifest, stepOrigin}, []trial.Fault{slow})...)
	return append(all, trial.Singles([]trial.Step{stepPass}, []trial.Fault{trial.Refuse, trial.Corrupt, slow})...)
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
	trial.Run(t, append(cases, pairCases()...), checkDistribution)
}

func checkDistribution(t *testing.T, s *trial.Script) {
	w := newWeights(1, trialPieces, trialLength)
	f := newFleet(shape{hosts: trialHosts, domains: 2, rates: rates{origin: 256 << 10, host: 128 << 10}}, w)
	k := &struck{fleet: f, script: s, killed: map[hosts.Name]bool{}}
	f.origin.reach = k.origin
	f.wrap = func(p fetch.Peers, n *node) fetch.Peers { return &faulty{Peers: p, strike: k, node: n} }
	f.startAll()
	defer f.stopAll()
	took := f.fetchAll(t, w, tables.FavorOrigin, trialBound, func(n *node) bool { return k.isKilled(n.host.Name) })
	for _, n := range f.nodes {
		if !k.isKilled(n.host.Name) {
			checkWhole(t, n, w)
		}
	}
	if want := strings.Count(t.Name(), "-at-"); len(s.Struck()) != want {
		t.Errorf("%d of %d faults were reached: %v", len(s.Struck()), want, s.Struck())
	}
	if copies := float64(f.origin.bytes) / float64(w.bytes); copies > 1.5 {
		t.Errorf("%.2f copies were read from the origin, took %s", copies, took)
	}
}

// fetchAll fetches the version at every host and returns how long the last one
// took. Hosts that are excused may fail.
func (f *fleet) fetchAll(t *testing.T, w *weights, favor tables.Favor, within time.Duration, excused func(n *node) bool) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	start := time.Now()
	var group sync.WaitGroup
	var last time.Duration
	var mutex sync.Mutex
	starts := make([]context.Context, len(f.nodes))
	for i, n := range f.nodes {
		starts[i], n.end = context.WithCancel(ctx)
	}
	for i, n := range f.nodes {
		group.Go(func() {
			own := starts[i]
			defer n.end()
			_, err := n.fetcher.Fetch(own, f.pool(w, favor))
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
		f.start(n, f.reader(n))
	}
	time.Sleep(time.Second)
}

func nobody(*node) bool { return false }

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

func TestMissingChunkIsToldAndWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWeights(1, trialPieces, trialLength)
		f := newFleet(shape{hosts: trialHosts}, w)
		var mutex sync.Mutex
		present := false
		f.origin.reach = func(_ hosts.Name, part chunks.Range) error {
			mutex.Lock()
			defer mutex.Unlock()
			if part.Offset == 5*trialLength && !present {
				return edges.ErrNotFound
			}
			return nil
		}
		f.startAll()
		defer f.stopAll()
		var group sync.WaitGroup
		group.Go(func() { f.fetchAll(t, w, tables.FavorOrigin, 10*time.Minute, nobody) })
		time.Sleep(2 * time.Minute)
		told := 0
		for _, n := range f.nodes {
			p := n.fetcher.Progress(w.digest)
			if p.Held != trialPieces-1 {
				t.Errorf("%s holds %d chunks beside the missing one", n.host.Name, p.Held)
			}
			if p.Error != "" {
				told++
			}
		}
		if told == 0 {
			t.Error("no host tells that a chunk is missing")
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

// fill gives the host the version without one piece. A negative piece is none.
func (n *node) fill(t *testing.T, w *weights, without int) {
	t.Helper()
	v, err := n.cache.AddManifest(w.digest, w.encoded)
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range v.Pieces {
		r := p.Range
		if i == without {
			continue
		}
		if err := n.cache.Add(p.Digest, bytes.Clone(w.files[r.Path][r.Offset:r.Offset+r.Length])); err != nil {
			t.Fatal(err)
		}
	}
}

func TestChunkMissingInOnePartIsToldAndComesWithTheHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lost = 5
		w := newWeights(1, trialPieces, trialLength)
		f := newFleet(shape{hosts: trialHosts, regions: 2, far: time.Millisecond}, w)
		f.origin.reach = func(hosts.Name, chunks.Range) error { return errDown }
		f.startAll()
		defer f.stopAll()
		each := func(act func(a, b netip.Addr)) {
			for i, n := range f.nodes {
				for _, o := range f.nodes[:i] {
					if n.host.Place.Region != o.host.Place.Region {
						act(n.host.Address.Addr(), o.host.Address.Addr())
					}
				}
			}
		}
		each(f.network.Silence)
		for i, n := range f.nodes {
			n.fill(t, w, map[int]int{0: -1, 1: lost}[i%2])
		}
		var group sync.WaitGroup
		group.Go(func() { f.fetchAll(t, w, tables.FavorOrigin, 10*time.Minute, nobody) })
		time.Sleep(4 * time.Minute)
		told := 0
		for i, n := range f.nodes {
			p := n.fetcher.Progress(w.digest)
			if want := trialPieces - i%2; p.Held != want {
				t.Errorf("%s holds %d chunks in the partition, want %d", n.host.Name, p.Held, want)
			}
			if p.Error != "" {
				told++
			}
		}
		if told == 0 {
			t.Error("no host tells that a chunk is missing")
		}
		each(f.network.Heal)
		healed := time.Now()
		group.Wait()
		if took := time.Since(healed); took > 2*time.Minute {
			t.Errorf("the chunk came %s after the heal", took)
		}
		for _, n := range f.nodes {
			checkWhole(t, n, w)
		}
	})
}
