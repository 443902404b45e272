package loader_test

import (
	"slices"
	"testing"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/feed"
)

func TestReleasedVersionIsLoadedOnce(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		w.release(2)
		time.Sleep(versionTimeout)
		w.check(2, 2)
	})
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	play(t, 0, 0, func(w *world) { w.check(1, 1) })
}

// TestCorruptStagedPieceIsReplacedBeforeLoad corrupts a staged piece while the engine waits
// for its slot, long before the order. The fake engine fails the test if it is ordered to
// load that piece.
func TestCorruptStagedPieceIsReplacedBeforeLoad(t *testing.T) {
	play(t, 1, 5, func(w *world) {
		w.release(2)
		time.Sleep(time.Second)
		w.mutex.Lock()
		if len(w.staged) != pieceCount || len(w.orders) > 0 {
			t.Errorf("%d pieces are staged, orders: %v", len(w.staged), w.orders)
		}
		w.staged[2] = []byte("corrupt")
		w.mutex.Unlock()
		time.Sleep(versionTimeout)
		w.check(2, 2)
	})
}

// TestEqualPiecesAreStagedUnderEachOfTheirNumbers releases versions in which pieces repeat, or have the
// content of a piece that the version before held under another number. It guards against pieces that are
// numbered by their position among the distinct ones: engines loaded the wrong content.
func TestEqualPiecesAreStagedUnderEachOfTheirNumbers(t *testing.T) {
	for name, c := range map[string]contents{
		"two equal":         {{2, 0}, {2, 1}, {2, 0}, {2, 3}},
		"run at the start":  {{2, 0}, {2, 0}, {2, 0}, {2, 3}},
		"run at the end":    {{2, 0}, {2, 1}, {2, 1}, {2, 1}},
		"all equal":         {{2, 0}, {2, 0}, {2, 0}, {2, 0}},
		"moved":             {{1, 1}, {1, 0}, {1, 3}, {1, 2}},
		"moved and equal":   {{1, 3}, {1, 3}, {2, 2}, {1, 0}},
		"unchanged and run": {{1, 0}, {1, 1}, {1, 1}, {1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, 0, 0, func(w *world) {
				w.contents.Store(&c)
				w.release(2)
				time.Sleep(versionTimeout)
				w.check(2, 1, 2)
				// A new agent takes the staged pieces into its cache.
				w.crash()
				w.restartLoader()
				time.Sleep(versionTimeout)
				w.check(2, 1, 2, 2)
			})
		})
	}
}

func TestReleaseSeenLateIsLoadedInTime(t *testing.T) {
	play(t, 1, 5, func(w *world) {
		// The tables were last confirmed 4 s before the release is seen.
		time.Sleep(2 * time.Second)
		w.release(2)
		// Entries that start later learn the age from the report.
		r, _ := w.loader.Report()
		if len(r.Releases) != 1 || r.Releases[0].Version != 2 || clocks.Since(r.Releases[0].NotBefore) != 4*time.Second {
			t.Errorf("releases in the report: %v", r.Releases)
		}
		time.Sleep(versionTimeout - 4*time.Second)
		w.check(2, 2)
	})
}

// TestReplacedVersionIsLoadedOnlyForLongerThanLoadingTakes releases two versions while the pieces of
// the second one don't arrive. It guards against an engine that loads the first one shortly before its
// end: it serves no version while it loads, and the load delays that of the second one.
func TestReplacedVersionIsLoadedOnlyForLongerThanLoadingTakes(t *testing.T) {
	for gap, want := range map[time.Duration][]int{2*loadTime - 50*time.Millisecond: {3}, 2*loadTime + 200*time.Millisecond: {2, 3}} {
		play(t, 1, 5, func(w *world) {
			confirm := func() {
				if _, err := w.mirror.Apply(feed.Update{Head: w.head, ConfirmedAt: clocks.Now(), LastContact: clocks.Now()}); err != nil {
					t.Fatal(err)
				}
			}
			w.fetchTime[3] = 2 * versionTimeout
			confirm()
			w.release(2)
			time.Sleep(gap)
			confirm()
			w.release(3)
			time.Sleep(3 * versionTimeout)
			w.check(3, want...)
		})
	}
}

func TestReleaseThatIsReplacedAtOnceIsLoadedInTime(t *testing.T) {
	play(t, 1, 5, func(w *world) {
		// The tables were last confirmed 4 s before the releases are seen.
		time.Sleep(2 * time.Second)
		w.release(2)
		w.release(3)
		time.Sleep(versionTimeout - 4*time.Second)
		w.check(3, 3)
	})
}

func TestRestartedEngineIsReloaded(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		w.crash()
		w.release(1)
		time.Sleep(2 * time.Second)
		w.check(1, 1)
	})
}

// TestBusyEngineGetsNoOrder releases a version while the engine is about to load the
// previous one, and also so late that the previous one completes first. It guards against a
// second order for a version whose load was still in progress, which the soak test found.
func TestBusyEngineGetsNoOrder(t *testing.T) {
	for _, gap := range []time.Duration{200 * time.Millisecond, time.Second, 3500 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			play(t, 1, 0, func(w *world) {
				w.mutex.Lock()
				w.running, w.fetchTime[3] = 2*time.Second, 3*time.Second
				w.mutex.Unlock()
				w.release(2)
				time.Sleep(gap)
				w.release(3)
				time.Sleep(2 * versionTimeout)
				w.mutex.Lock()
				defer w.mutex.Unlock()
				if w.held != 3 || len(w.rejected) > 0 {
					t.Errorf("serves %d after orders %v, rejected: %v", w.held, w.orders, w.rejected)
				}
			})
		})
	}
}

// TestEngineThatWentBackLoadsAtOnce has an engine return to a version whose time is over, while it
// waits for the last slot of the newest one.
func TestEngineThatWentBackLoadsAtOnce(t *testing.T) {
	play(t, 1, 5, func(w *world) {
		w.release(2)
		time.Sleep(versionTimeout)
		w.release(2)
		w.release(3)
		time.Sleep(time.Second)
		w.check(2, 2)
		w.mutex.Lock()
		w.held = 1
		w.mutex.Unlock()
		time.Sleep(time.Second)
		w.check(3, 2, 3)
	})
}

// TestEngineIsNotClosedWhileItWaitsForItsSlot has an engine restart and load version 1 again while
// version 2 arrives, for which it has the last slot.
func TestEngineIsNotClosedWhileItWaitsForItsSlot(t *testing.T) {
	play(t, 1, 5, func(w *world) {
		w.mutex.Lock()
		w.running, w.fetchTime[2] = time.Second, 300*time.Millisecond
		w.mutex.Unlock()
		w.release(2)
		time.Sleep(100 * time.Millisecond)
		w.crash()
		time.Sleep(2 * time.Second)
		if r, ok := w.loader.Report(); !ok || r.Closing || !r.Status.Holds(writer, 1) {
			t.Errorf("after 2 s: %+v %t", r, ok)
		}
		time.Sleep(versionTimeout)
		w.check(2, 1, 2)
	})
}

// TestPieceThatIsStoredLateIsReplacedBeforeLoad has the engine store a piece of version 2 late, after
// those of version 3 were staged. The fake engine fails the test if it is ordered to load it.
func TestPieceThatIsStoredLateIsReplacedBeforeLoad(t *testing.T) {
	for late := 1200 * time.Millisecond; late < 3*time.Second; late += 25 * time.Millisecond {
		play(t, 1, 0, func(w *world) {
			w.mutex.Lock()
			w.stageTime, w.lateStage = 25*time.Millisecond, late
			w.mutex.Unlock()
			w.release(2)
			time.Sleep(400 * time.Millisecond)
			w.release(3)
			time.Sleep(versionTimeout)
			w.checkValid()
			w.mutex.Lock()
			defer w.mutex.Unlock()
			// It is loaded again if the piece may have been stored before the order was accepted.
			if w.held != 3 || w.heldFaults != (faults{}) || slices.ContainsFunc(w.orders, func(v int) bool { return v != 3 }) {
				t.Errorf("late by %v: serves %d after orders %v, %q", late, w.held, w.orders, w.heldFaults)
			}
		})
	}
}
