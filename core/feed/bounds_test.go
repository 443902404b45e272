package feed_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/feed"
	"currantport.example/core/hosts"
)

// TestReleaseAfterOutageIsNotAsOldAsTheOutage publishes a release when the platform returns that
// had refused all processes.
func TestReleaseAfterOutageIsNotAsOldAsTheOutage(t *testing.T) {
	const outage, retryTime = 10 * time.Second, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(6)
		stop := w.start()
		defer stop()
		time.Sleep(5 * time.Second)
		w.setCut(w.entries, true)
		time.Sleep(outage)
		w.setCut(w.entries, false)
		returnedAt := time.Now()
		w.platform.publish(2)
		time.Sleep(5 * time.Second)
		for _, h := range w.entries {
			r := w.mirrors[h.Name].Snapshot().Release("m")
			if early := returnedAt.Sub(r.NotBefore); r.Version != 2 || early < 0 || early > retryTime {
				t.Errorf("%s: version %d counts as published %v before it was", h.Name, r.Version, early)
			}
		}
	})
}

// TestReleaseDuringAnOutageIsNotYoungerThanItsPublication has the platform refuse all processes while
// it takes a release.
func TestReleaseDuringAnOutageIsNotYoungerThanItsPublication(t *testing.T) {
	const outage = 10 * time.Second
	for _, after := range []time.Duration{0, time.Second, outage - 100*time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(6)
			all := append(slices.Clone(w.entries), w.addAgents(6, 3)...)
			stop := w.startAll(all)
			defer stop()
			time.Sleep(5 * time.Second)
			w.setCut(all, true)
			time.Sleep(after)
			w.platform.publish(2)
			publishedAt := time.Now()
			time.Sleep(outage - after)
			w.setCut(all, false)
			time.Sleep(5 * time.Second)
			for _, h := range all {
				if r := w.mirrors[h.Name].Snapshot().Release("m"); r.Version != 2 || r.NotBefore.After(publishedAt) {
					t.Errorf("%s: version %d counts as published %v after it was", h.Name, r.Version, r.NotBefore.Sub(publishedAt))
				}
			}
		})
	}
}

// TestBoundIsNeverAfterThePublication publishes versions while entries lose and regain the
// platform.
func TestBoundIsNeverAfterThePublication(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(6)
			all := append(slices.Clone(w.entries), w.addAgents(6, 3)...)
			stop := w.startAll(all)
			defer stop()
			time.Sleep(3 * time.Second)
			for version := 2; version < 12; version++ {
				w.cutAtRandom(random)
				time.Sleep(time.Duration(random.Int64N(int64(6 * time.Second))))
				w.platform.publish(version)
				publishedAt := time.Now()
				time.Sleep(4 * time.Second)
				// A process that starts takes the age from its source.
				started := feed.NewMirror()
				relay(t, w.mirrors[w.entries[random.IntN(len(w.entries))].Name], started)
				mirrors := maps.Clone(w.mirrors)
				mirrors["started"] = started
				for _, h := range append([]hosts.Host{{Name: "started"}}, all...) {
					r := mirrors[h.Name].Snapshot().Release("m")
					if r.Version != version {
						continue
					}
					if r.NotBefore.After(publishedAt) {
						t.Errorf("seed %d, %s: version %d counts as published %v after it was", seed, h.Name, version, r.NotBefore.Sub(publishedAt))
					}
				}
			}
		})
	}
}

// cutAtRandom cuts about a third of the entries off from the platform, and ends other cuts.
func (w *world) cutAtRandom(random *rand.Rand) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	clear(w.cut)
	for _, h := range w.entries {
		if random.IntN(3) == 0 {
			w.cut[h.Name] = random.IntN(2) == 0
		}
	}
}
