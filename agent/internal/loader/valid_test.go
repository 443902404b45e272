package loader_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantport.example/core/engine"
	"currantport.example/core/feed"
)

// maxCorruptTime is the time for which a piece may have been corrupt when it was loaded.
const maxCorruptTime = 3 * time.Second

// corruption makes a piece corrupt right after it was read back, or after an order was sent.
type corruption struct {
	piece int
	// afterReads is the number of reads of the piece after which it happens, or zero for the time at
	// which an order is sent.
	afterReads int
}

// corrupt replaces a staged piece. The caller holds the mutex.
func (w *world) corrupt(piece int) {
	w.staged[piece], w.corruptSince[piece] = []byte("corrupt"), time.Now()
}

// faults are why tokens of each layer would be wrong, or nothing. A layer has one piece.
type faults [pieceCount]string

// first returns that of the first layer which has one, or nothing.
func (f faults) first() string {
	for _, text := range f {
		if text != "" {
			return text
		}
	}
	return ""
}

// loadFault returns the faults of layers of a version that are loaded now, but for those that are kept.
// The caller holds the mutex.
func (w *world) loadFault(version int, layers, kept engine.Layers) faults {
	var all faults
	for i := layers.From; i < layers.To; i++ {
		since, isCorrupt := w.corruptSince[i]
		switch {
		case i >= kept.From && i < kept.To:
			all[i] = w.heldFaults[i]
		case bytes.Equal(w.staged[i], w.pieceOf(version, i)):
		case !isCorrupt:
			all[i] = fmt.Sprintf("piece %d is %q", i, w.staged[i])
		case time.Since(since) > maxCorruptTime:
			all[i] = fmt.Sprintf("piece %d had been corrupt for %s", i, time.Since(since))
		}
	}
	return all
}

// observe receives the reports of the agent, and checks until the play ends that entries are told to send
// no requests while the engine has an invalid load.
func (w *world) observe() {
	const reportInterval = 100 * time.Millisecond
	closed, interval := false, reportInterval
	for {
		t := time.NewTimer(interval)
		select {
		case <-w.ended:
			t.Stop()
			return
		case <-w.notified:
		case <-t.C:
		}
		t.Stop()
		if r, ok := w.current().Report(); ok {
			closed = r.Closing || r.Status.Busy
		}
		w.mutex.Lock()
		fault := w.heldFaults.first()
		if fault != "" && !w.busy && !closed && w.heldLayers == (engine.Layers{To: pieceCount}) {
			if text := fmt.Sprintf("version %d: %s", w.held, fault); !slices.Contains(w.exposed, text) {
				w.exposed = append(w.exposed, text)
			}
		}
		interval = reportInterval
		if fault != "" || w.busy && w.loadFaults.first() != "" {
			interval = 5 * time.Millisecond
		}
		w.mutex.Unlock()
	}
}

func (w *world) checkValid() {
	w.t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.exposed) > 0 {
		w.t.Errorf("open with %q after orders %v", w.exposed, w.orders)
	}
}

// checkLoad is checkValid for a version 2 that was loaded.
func (w *world) checkLoad() {
	w.t.Helper()
	w.checkValid()
	if w.held != 2 {
		w.t.Errorf("serves %d", w.held)
	}
	if r, ok := w.loader.Report(); !ok || r.Closing || w.heldFaults != (faults{}) || w.heldLayers != (engine.Layers{To: pieceCount}) {
		w.t.Errorf("closed: %t, layers %v, %q", r.Closing, w.heldLayers, w.heldFaults)
	}
}

// TestEngineWithALongCorruptPieceGetsNoRequests crosses slow read-backs with orders that are accepted
// late, while a piece becomes corrupt right after it was checked.
func TestEngineWithALongCorruptPieceGetsNoRequests(t *testing.T) {
	fates := map[string]func(time.Duration) orderFate{
		"standstill": func(d time.Duration) orderFate {
			return orderFate{stall: d, arrivals: []time.Duration{0}, answered: true}
		},
		"lost": func(d time.Duration) orderFate { return orderFate{arrivals: []time.Duration{d}} },
	}
	for name, fate := range fates {
		for _, readTime := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond} {
			for _, late := range []time.Duration{0, 2500 * time.Millisecond, 3500 * time.Millisecond, 5 * time.Second} {
				for reads := range 4 {
					for _, piece := range []int{0, pieceCount - 1} {
						text := fmt.Sprintf("%s %s, read-back %s, piece %d after %d reads", name, late, readTime, piece, reads)
						t.Run(text, func(t *testing.T) {
							playLoad(t, readTime, false, &corruption{piece: piece, afterReads: reads}, fate(late), (*world).checkLoad)
						})
					}
				}
			}
		}
	}
}

// playLoad loads a version at an engine that sends staged pieces after readTime, and in case isSerial one
// after the other. One piece may become corrupt. The first order has the given fate.
func playLoad(t *testing.T, readTime time.Duration, isSerial bool, c *corruption, first orderFate, test func(w *world)) {
	t.Helper()
	play(t, 1, 5, func(w *world) {
		w.mutex.Lock()
		w.readTime, w.corruption = readTime, c
		if isSerial {
			w.readers = make(chan struct{}, 1)
		}
		isFirst := true
		w.fateOf = func() orderFate {
			if isFirst {
				isFirst = false
				return first
			}
			return orderFate{arrivals: []time.Duration{0}, answered: true}
		}
		w.mutex.Unlock()
		w.release(2)
		time.Sleep(4 * versionTimeout)
		test(w)
	})
}

// TestValidLoadsAreServed loads a version at a slow engine whose pieces stay valid, with orders that are
// accepted late. It guards against an engine that stays closed.
func TestValidLoadsAreServed(t *testing.T) {
	for _, readTime := range []time.Duration{0, 100 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond} {
		for _, isSerial := range []bool{false, true} {
			for _, first := range []orderFate{
				{stall: 3500 * time.Millisecond, arrivals: []time.Duration{0}, answered: true},
				{stall: 6 * time.Second, arrivals: []time.Duration{0}, answered: true},
				{arrivals: []time.Duration{700 * time.Millisecond}, answered: true},
				{arrivals: []time.Duration{3500 * time.Millisecond}},
				{},
			} {
				t.Run(fmt.Sprintf("read-back %s, serial %t, order %+v", readTime, isSerial, first), func(t *testing.T) {
					playLoad(t, readTime, isSerial, nil, first, func(w *world) {
						if r, ok := w.loader.Report(); !ok || r.Closing || w.held != 2 {
							t.Errorf("serves %d after orders %v, closed: %t", w.held, w.orders, r.Closing)
						}
					})
				})
			}
		}
	}
}

// TestLoadsOfRandomFaultsAreServedOnlyIfValid corrupts staged pieces, loses and delays orders, lets the agent
// stand still and restarts it and the engine for 20 s, while versions are released.
func TestLoadsOfRandomFaultsAreServedOnlyIfValid(t *testing.T) {
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random, fates := rand.New(rand.NewPCG(seed, 55)), rand.New(rand.NewPCG(seed, 56))
			upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
			play(t, 1, random.IntN(4), func(w *world) {
				w.mutex.Lock()
				w.stageTime, w.readTime, w.running = upTo(60*time.Millisecond), upTo(400*time.Millisecond), upTo(time.Second)
				if random.IntN(2) == 0 {
					w.readers = make(chan struct{}, 1)
				}
				end := time.Now().Add(20 * time.Second)
				w.fateOf = func() orderFate {
					if time.Now().After(end) {
						return orderFate{arrivals: []time.Duration{0}, answered: true}
					}
					if fates.IntN(3) == 0 {
						return orderFate{stall: time.Duration(fates.Int64N(int64(6 * time.Second))), arrivals: []time.Duration{0}, answered: true}
					}
					return randomFate(fates)
				}
				w.mutex.Unlock()
				newest := 1
				for time.Now().Before(end) {
					switch random.IntN(40) {
					case 0:
						w.crash()
					case 1, 2, 3, 4, 5, 6:
						newest++
						w.release(newest)
					case 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18:
						w.mutex.Lock()
						if n := random.IntN(pieceCount); w.staged[n] != nil {
							w.corrupt(n)
						}
						w.mutex.Unlock()
					case 21:
						w.restartLoader()
					case 19, 20:
						w.mutex.Lock()
						w.stalledUntil = time.Now().Add(upTo(4 * time.Second))
						w.mutex.Unlock()
					}
					time.Sleep(upTo(500 * time.Millisecond))
				}
				newest++
				w.release(newest)
				time.Sleep(2 * versionTimeout)
				w.checkValid()
				if r, ok := w.loader.Report(); !ok || r.Closing || w.held != newest {
					t.Errorf("serves %d of %d, closed: %t", w.held, newest, r.Closing)
				}
			})
		})
	}
}

// TestMixedLoadOfAnOrderOfAnEarlierAgentGetsNoRequests restarts the agent while its order of version 2 may
// take effect, and releases version 3.
func TestMixedLoadOfAnOrderOfAnEarlierAgentGetsNoRequests(t *testing.T) {
	for late := 950 * time.Millisecond; late <= 1500*time.Millisecond; late += 10 * time.Millisecond {
		play(t, 1, 5, func(w *world) {
			ordered, isFirst := make(chan struct{}), true
			w.mutex.Lock()
			w.stageTime = 50 * time.Millisecond
			w.fateOf = func() orderFate {
				if isFirst {
					isFirst = false
					close(ordered)
					return orderFate{arrivals: []time.Duration{late}}
				}
				return orderFate{arrivals: []time.Duration{0}, answered: true}
			}
			w.mutex.Unlock()
			w.release(2)
			<-ordered
			w.release(3)
			time.Sleep(900 * time.Millisecond)
			w.restartLoader()
			time.Sleep(2 * versionTimeout)
			w.checkValid()
			if r, ok := w.loader.Report(); !ok || r.Closing || w.held != 3 {
				t.Errorf("an order late by %v: serves %d, closed: %t", late, w.held, r.Closing)
			}
		})
	}
}

// TestNewAgentValidatesALoadInProgress restarts the agent while the engine loads a version.
func TestNewAgentValidatesALoadInProgress(t *testing.T) {
	for _, isCorrupt := range []bool{false, true} {
		play(t, 1, 0, func(w *world) {
			ordered := make(chan struct{}, 9)
			w.mutex.Lock()
			w.running = 2 * time.Second
			w.fateOf = func() orderFate {
				ordered <- struct{}{}
				return orderFate{arrivals: []time.Duration{0}, answered: true}
			}
			w.mutex.Unlock()
			w.release(2)
			<-ordered
			w.stop()
			time.Sleep(100 * time.Millisecond)
			if isCorrupt {
				w.mutex.Lock()
				w.corrupt(1)
				w.mutex.Unlock()
			}
			w.restartLoader()
			time.Sleep(versionTimeout)
			if r, ok := w.loader.Report(); !ok || r.Closing || w.held != 2 || isCorrupt != (len(w.orders) == 4) {
				t.Errorf("corrupt %t: serves %d after orders %v, closed: %t", isCorrupt, w.held, w.orders, r.Closing)
			}
		})
	}
}

// TestEngineIsLeftAloneUntilTheTablesAreKnown starts an agent that gets its tables after the status of the
// engine, of which it can't tell before whether it holds all layers.
func TestEngineIsLeftAloneUntilTheTablesAreKnown(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		w.stop()
		w.mirror = feed.NewMirror()
		w.restartLoader()
		time.Sleep(1234 * time.Millisecond)
		w.release(1)
		time.Sleep(versionTimeout)
		w.check(1)
		if r, ok := w.loader.Report(); !ok || r.Closing {
			t.Errorf("closed: %t", r.Closing)
		}
	})
}

// TestNewAgentLoadsTheLayerThatAnEngineKept restarts the agent when its engine has dropped all layers but one of a
// load that isn't known to be valid, and the pieces are staged again.
func TestNewAgentLoadsTheLayerThatAnEngineKept(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		w.stop()
		w.mutex.Lock()
		w.corrupt(0)
		w.mutex.Unlock()
		time.Sleep(4 * time.Second)
		w.mutex.Lock()
		count := 0
		w.fateOf = func() orderFate {
			if count++; count == 2 {
				return orderFate{}
			}
			return orderFate{arrivals: []time.Duration{0}, answered: true}
		}
		w.heldFaults = w.loadFault(1, engine.Layers{To: pieceCount}, engine.Layers{})
		w.mutex.Unlock()
		w.restartLoader()
		for range 1000 {
			time.Sleep(time.Millisecond)
			w.mutex.Lock()
			isDropped := w.heldLayers == (engine.Layers{To: 1}) && bytes.Equal(w.staged[0], w.pieceOf(1, 0))
			w.mutex.Unlock()
			if isDropped {
				break
			}
		}
		w.restartLoader()
		time.Sleep(versionTimeout)
		if r, ok := w.loader.Report(); !ok || r.Closing || w.heldFaults != (faults{}) || w.heldLayers != (engine.Layers{To: pieceCount}) {
			t.Errorf("closed: %t, layers %v, %q after orders %v", r.Closing, w.heldLayers, w.heldFaults, w.orders)
		}
	})
}
