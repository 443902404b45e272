package fetch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

// scenario is a sequence of changes of a fleet during a roll-out.
type scenario struct {
	name    string
	regions int
	// play changes the fleet while most hosts fetch the version. All hosts must hold the
	// version of the last fetch at the end.
	play func(r *scenarioRun)
	// maxCopies limits what is read from the origin, in copies of one version: about one
	// for each version, and one more for each side of a partition.
	maxCopies float64
}

// scenarioRun is one run of a scenario.
type scenarioRun struct {
	t        *testing.T
	fleet    *fleet
	versions []*weights
	group    sync.WaitGroup
	cancels  map[hosts.Name]context.CancelFunc
	// poolMembers are the members in the pool row of new fetches.
	poolMembers []hosts.Name
	want        *weights
}

// fetch starts or restarts the fetch of a version at some hosts.
func (r *scenarioRun) fetch(w *weights, nodes ...*node) {
	r.want = w
	for _, n := range nodes {
		if previous := r.cancels[n.host.Name]; previous != nil {
			previous()
		}
		ctx, cancel := context.WithTimeout(r.t.Context(), 10*time.Minute)
		r.cancels[n.host.Name] = cancel
		pool := r.fleet.pool(w, tables.FavorOrigin, r.poolMembers...)
		fetcher := n.fetcher
		r.group.Go(func() { _, _ = fetcher.Fetch(ctx, pool) })
	}
}

// setPartition separates a region from the others, or heals the partition.
func (r *scenarioRun) setPartition(region hosts.Region, heal bool) {
	for _, a := range r.fleet.nodes {
		for _, b := range r.fleet.nodes {
			if a.host.Place.Region != region || b.host.Place.Region == region {
				continue
			}
			x, y := a.host.Address.Addr(), b.host.Address.Addr()
			if heal {
				r.fleet.network.Heal(x, y)
				continue
			}
			r.fleet.network.Silence(x, y)
		}
	}
}

func scenarios() []scenario {
	return []scenario{
		{name: "version changes twice and back", maxCopies: 3.3, play: func(r *scenarioRun) {
			for _, w := range []*weights{r.versions[0], r.versions[1], r.versions[2], r.versions[0]} {
				r.fetch(w, r.fleet.nodes...)
				time.Sleep(2 * time.Second)
			}
		}},
		{name: "shared chunks aren't fetched again", maxCopies: 1.3, play: func(r *scenarioRun) {
			r.fetch(r.versions[0], r.fleet.nodes...)
			r.group.Wait()
			r.fetch(r.versions[3], r.fleet.nodes...)
		}},
		{name: "pool grows by tens of hosts", maxCopies: 1.2, play: func(r *scenarioRun) {
			first := r.fleet.nodes[:4]
			for _, n := range first {
				r.poolMembers = append(r.poolMembers, n.host.Name)
			}
			r.fetch(r.versions[0], first...)
			time.Sleep(2 * time.Second)
			r.poolMembers = nil
			synctest.Wait()
			r.fleet.activeRows["pool"] = r.fleet.pool(r.versions[0], tables.FavorOrigin)
			r.fetch(r.versions[0], r.fleet.nodes[4:]...)
		}},
		{name: "pool shrinks", maxCopies: 1.2, play: func(r *scenarioRun) {
			r.fetch(r.versions[0], r.fleet.nodes...)
			time.Sleep(2 * time.Second)
			for _, n := range r.fleet.nodes[20:] {
				r.cancels[n.host.Name]()
				synctest.Wait()
				n.stop()
			}
			synctest.Wait()
			r.fleet.nodes = r.fleet.nodes[:20]
			r.fleet.publish()
		}},
		{name: "host restarts with nothing", maxCopies: 1.4, play: func(r *scenarioRun) {
			r.fetch(r.versions[0], r.fleet.nodes...)
			time.Sleep(2 * time.Second)
			for _, n := range r.fleet.nodes[:3] {
				r.cancels[n.host.Name]()
				synctest.Wait()
				n.stop()
				r.fleet.start(n, r.fleet.sourceFor(n))
			}
			r.fetch(r.versions[0], r.fleet.nodes[:3]...)
		}},
		{name: "same host in two pools", maxCopies: 2.2, play: func(r *scenarioRun) {
			r.fetch(r.versions[1], r.fleet.nodes[:10]...)
			r.cancels = map[hosts.Name]context.CancelFunc{}
			r.fetch(r.versions[0], r.fleet.nodes...)
		}},
		{name: "origin down with one copy in the fleet", maxCopies: 1.1, play: func(r *scenarioRun) {
			r.fetch(r.versions[0], r.fleet.nodes[0])
			r.group.Wait()
			r.fleet.origin.beforeRead = func(hosts.Name, chunks.Range) error { return errOriginDown }
			r.fetch(r.versions[0], r.fleet.nodes...)
		}},
		{name: "region is cut off for minutes", regions: 3, maxCopies: 2.2, play: func(r *scenarioRun) {
			r.fetch(r.versions[0], r.fleet.nodes...)
			time.Sleep(time.Second)
			r.setPartition("region2", false)
			time.Sleep(2 * time.Minute)
			r.setPartition("region2", true)
		}},
		{name: "region is cut off from the start", regions: 3, maxCopies: 2.2, play: func(r *scenarioRun) {
			r.setPartition("region1", false)
			r.fetch(r.versions[0], r.fleet.nodes...)
			time.Sleep(3 * time.Minute)
			r.setPartition("region1", true)
		}},
	}
}

func TestRolloutThroughChange(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { s.test(t) })
		})
	}
}

func (s scenario) test(t *testing.T) {
	r := &scenarioRun{t: t, cancels: map[hosts.Name]context.CancelFunc{}}
	for i := range uint64(3) {
		r.versions = append(r.versions, newWeights(i+1, trialPieces, trialChunkBytes))
	}
	changed := append([]byte(nil), r.versions[0].files["model"]...)
	changed[0] ^= 1
	r.versions = append(r.versions, weightsOf(map[string][]byte{"model": changed, "empty": nil, "tiny": {1}}, trialChunkBytes))
	r.fleet = newFleet(shape{
		hosts: 30, regions: max(s.regions, 1), domains: 2, remoteDelay: 2 * time.Millisecond,
		rates: rates{origin: 64 << 10, host: 32 << 10, region: 64 << 10}, direct: s.regions == 0,
	}, r.versions...)
	r.fleet.startAll()
	defer r.fleet.stopAll()
	s.play(r)
	r.group.Wait()
	for _, cancel := range r.cancels {
		cancel()
	}
	for _, n := range r.fleet.nodes {
		checkWhole(t, n, r.want)
	}
	copies := float64(r.fleet.origin.bytes) / float64(r.versions[0].bytes)
	if copies > s.maxCopies {
		t.Errorf("%.2f copies were read from the origin", copies)
	}
	t.Logf("copies %.2f", copies)
}
