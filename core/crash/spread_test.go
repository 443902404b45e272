package crash_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/crash"
	"currantport.example/core/hosts"
	"currantport.example/core/wire"
)

const (
	// fanout, heartbeatRounds and maxHeartbeats are those of the membership protocol.
	fanout          = 2
	heartbeatRounds = 2
	maxHeartbeats   = 256
)

// gossipAsMembers sends the marks of each entry to as few others as the membership protocol does.
func (f *fleet) gossipAsMembers(round, regions int, loss float64) {
	marks := make([][]*wire.CrashMark, len(f.entries))
	for i, e := range f.entries {
		marks[i] = e.Export(32)
	}
	for i := range f.entries {
		to := make(map[int]bool)
		for len(to) < min(fanout, len(f.entries)-1) {
			if k := f.random.IntN(len(f.entries)); k != i {
				to[k] = true
			}
		}
		if round%heartbeatRounds == 0 {
			sent := 0
			for _, k := range f.random.Perm(len(f.entries)) {
				if k != i && k%regions == i%regions && sent < maxHeartbeats {
					to[k] = true
					sent++
				}
			}
		}
		for k := range f.entries {
			if to[k] && f.random.Float64() >= loss {
				f.entries[k].Merge(hosts.Name(fmt.Sprint("e", i)), marks[i])
			}
		}
	}
}

// besideSound returns requests with one of the parts and then one of the first sound ones.
func besideSound(poisons ...string) func(f *fleet) []string {
	return func(f *fleet) []string {
		return []string{poisons[f.random.IntN(len(poisons))], f.sound[f.random.IntN(20)]}
	}
}

// TestOnlyThePoisonousPartIsQuarantinedInALargeFleet guards against marks that don't
// spread in a fleet in which each entry sees few crashes.
func TestOnlyThePoisonousPartIsQuarantinedInALargeFleet(t *testing.T) {
	for name, c := range map[string]struct {
		entries, regions, upstreams, sound int
		soundRate, rate                    float64
		loss                               float64
		quiet                              time.Duration
		poisons                            []string
		parts                              func(f *fleet) []string
	}{
		"from the start":  {entries: 30, regions: 3, upstreams: 24, sound: 100, soundRate: 60, rate: 10, poisons: []string{"bad"}, parts: besideSound("bad")},
		"half lost":       {entries: 30, regions: 3, upstreams: 24, sound: 100, soundRate: 60, rate: 10, loss: 0.5, quiet: 3 * time.Second, poisons: []string{"bad"}, parts: besideSound("bad")},
		"four at once":    {entries: 30, regions: 3, upstreams: 24, sound: 100, soundRate: 60, rate: 20, quiet: 3 * time.Second, poisons: []string{"bad", "worse", "worst", "evil"}, parts: besideSound("bad", "worse", "worst", "evil")},
		"six, many parts": {entries: 6, regions: 3, upstreams: 24, sound: 1000, soundRate: 60, rate: 4, quiet: 3 * time.Second, poisons: []string{"bad"}, parts: besideSound("bad")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				for seed := range uint64(1) {
					f := newFleet(seed, c.entries, c.upstreams, c.sound, c.poisons...)
					round := 0
					playAsMembers := func(length time.Duration, each func()) {
						for s := time.Duration(0); s < length; s += tick {
							each()
							f.step()
							if s%gossipInterval == 0 {
								f.gossipAsMembers(round, c.regions, c.loss)
								round++
							}
							time.Sleep(tick)
						}
					}
					playAsMembers(c.quiet, func() { f.sendSound(c.soundRate) })
					playAsMembers(12*time.Second, func() {
						f.sendSound(c.soundRate)
						for p := c.rate * tick.Seconds(); p > 0; p-- {
							if f.random.Float64() < p {
								f.send(c.parts(f)...)
							}
						}
					})
					f.check(t, seed)
				}
			})
		})
	}
}

// TestEachPartOfASeriesIsQuarantined guards against verdicts that leave no room in gossip for the
// crashes of the next part.
func TestEachPartOfASeriesIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := []string{"first", "second", "third", "fourth", "fifth", "sixth"}
		f := newFleet(0, 6, 24, 60, parts...)
		for _, p := range parts {
			f.play(5*time.Second, func(time.Duration) { f.sendSound(60) })
			f.play(15*time.Second, func(time.Duration) {
				f.sendSound(60)
				if f.random.Float64() < 6*tick.Seconds() {
					f.send(p, f.sound[f.random.IntN(20)])
				}
			})
		}
		f.check(t, 0)
	})
}

// TestRestartedEntryLearnsWhichPartIsQuarantined guards against an entry with an empty registry that
// sends requests with the part long after its start.
func TestRestartedEntryLearnsWhichPartIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(2) {
			f := newFleet(seed, 6, 24, 60, "bad")
			poisonous := func(time.Duration) {
				f.sendSound(60)
				if f.random.Float64() < 6*tick.Seconds() {
					f.send("bad", f.sound[f.random.IntN(20)])
				}
			}
			f.play(5*time.Second, func(time.Duration) { f.sendSound(60) })
			for i := range f.entries {
				f.play(8*time.Second, poisonous)
				f.entries[i] = crash.NewRegistry(zap.NewNop())
			}
			f.play(8*time.Second, poisonous)
			for i, e := range f.entries {
				if !e.IsQuarantined(identity([]string{"bad"}, -1)) {
					t.Errorf("seed %d: entry %d sends bad", seed, i)
				}
			}
		}
	})
}
