package feed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/feed"
	"currantport.example/core/hosts"
)

// applyBound is the time within which a change reaches every entry that runs and can reach the platform.
const applyBound = 2 * time.Second

// pairs returns all pairs of entries.
func pairs(all []hosts.Host) [][]hosts.Host {
	var found [][]hosts.Host
	for i := range all {
		for j := range i {
			found = append(found, []hosts.Host{all[j], all[i]})
		}
	}
	return found
}

// TestChangeReachesEntriesWhoseSourcesAreSilent has each pair of entries stand still shortly before a
// change. It guards against waits for one silent source after the other that add up to more than the bound.
func TestChangeReachesEntriesWhoseSourcesAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(7)
		defer w.start()()
		time.Sleep(3 * time.Second)
		version := 2
		for _, pair := range pairs(w.entries) {
			for phase := time.Duration(0); phase < 1600*time.Millisecond; phase += 130 * time.Millisecond {
				time.Sleep(4*time.Second + phase)
				w.setSilent(pair...)
				time.Sleep(100 * time.Millisecond)
				if delay := w.propagationDelay(version); delay > applyBound {
					t.Errorf("version %d after %v with %s and %s silent for %v", version, delay, pair[0].Name, pair[1].Name, phase)
				}
				time.Sleep(time.Second)
				w.setSilent()
				version++
			}
		}
	})
}

// settleTime is how long an entry must have run and reached the platform for applyBound to hold.
const settleTime = 3 * time.Second

// TestChangeReachesTheLastRunningEntries has any number of entries stand still and others lose the
// platform, with and without responses, in series that overlap.
func TestChangeReachesTheLastRunningEntries(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 2))
			w := newWorldIn(3+r.IntN(9), 1+r.IntN(3))
			defer w.start()()
			time.Sleep(3 * time.Second)
			calmSince := make(map[hosts.Name]time.Time)
			recordDisturbed := func() {
				for _, h := range w.entries {
					if w.isDisturbed(h.Name) {
						calmSince[h.Name] = time.Now()
					}
				}
			}
			for version := 2; version < 26; version++ {
				recordDisturbed()
				w.disturb(r, r.IntN(2) == 0)
				time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
				w.platform.publish(version)
				publishedAt := time.Now()
				recordDisturbed()
				time.Sleep(applyBound)
				for _, h := range w.entries {
					if publishedAt.Sub(calmSince[h.Name]) >= settleTime && w.mirrors[h.Name].Snapshot().Release("m").Version < version {
						t.Errorf("seed %d: %s lacks version %d, contact %v ago, with silent %v, cut off %v",
							seed, h.Name, version, time.Since(w.mirrors[h.Name].LastContact()), w.silent, w.cut)
					}
				}
				recordDisturbed()
				if r.IntN(3) == 0 {
					w.setSilent()
					w.setCut(nil, false)
				}
			}
		})
	}
}

// isDisturbed reports whether an entry stands still or can't reach the platform.
func (w *world) isDisturbed(name hosts.Name) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, cut := w.cut[name]
	return cut || w.silent[name]
}

// disturb has a random number of entries stand still, all but one at the most. With cuts, up to two of
// the others can't reach the platform.
func (w *world) disturb(r *rand.Rand, cuts bool) {
	order := r.Perm(len(w.entries))
	silent := make([]hosts.Host, r.IntN(len(order)))
	for i := range silent {
		silent[i] = w.entries[order[i]]
	}
	w.setSilent(silent...)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	clear(w.cut)
	for _, i := range order[len(silent):] {
		if cuts && len(w.cut) < 2 && r.IntN(2) == 0 {
			w.cut[w.entries[i].Name] = r.IntN(2) == 0
		}
	}
}

// TestSilentLeadersCauseNoStampede counts the entries of a large fleet that read the platform while
// the leaders of one domain and of two stand still.
func TestSilentLeadersCauseNoStampede(t *testing.T) {
	const domains, perDomain = 5, 20
	for silent := 1; silent <= 2; silent++ {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorldIn(domains*perDomain, domains)
				defer w.start()()
				time.Sleep(5 * time.Second)
				w.platform.resetCounts()
				w.setSilent(w.leaders()[:silent]...)
				time.Sleep(10 * time.Second)
				reads, lists, readers := w.platform.resetCounts()
				t.Logf("pulls=%d lists=%d processes=%d", reads, lists, readers)
				// The other leaders read as before, and one more entry in each domain whose leader is silent.
				if most := domains + silent; readers > most || lists > 0 {
					t.Errorf("%d processes read the platform, want at most %d; %d of all rows", readers, most, lists)
				}
			})
		})
	}
}

// leaders returns the leader of each failure domain.
func (w *world) leaders() []hosts.Host {
	var all []hosts.Host
	for _, h := range w.entries {
		if (feed.Identity{Self: h.Name, Place: h.Place, Role: h.Role}).SourceOrder(w.entries)[0] == feed.PlatformSource {
			all = append(all, h)
		}
	}
	return all
}
