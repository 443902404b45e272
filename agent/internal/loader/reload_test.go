package loader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/engine"
)

var (
	// atOnce is the fate of an order that is answered at once, afterStandstill that of one that is sent 4 s late.
	atOnce          = orderFate{arrivals: []time.Duration{0}, answered: true}
	afterStandstill = orderFate{stall: 4 * time.Second, arrivals: []time.Duration{0}, answered: true}
	firstLayer      = engine.Layers{To: 1}
)

// playEach plays a test for each delay from one to another.
func playEach(t *testing.T, from, to, step time.Duration, test func(w *world, delay time.Duration)) {
	t.Helper()
	for d := from; d < to; d += step {
		t.Run(d.String(), func(t *testing.T) {
			play(t, 1, 0, func(w *world) { test(w, d) })
		})
	}
}

// orderInTurn gives orders their fates in turn, and the last one to all others. The result is closed when the
// first order is sent.
func (w *world) orderInTurn(all ...orderFate) <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count, ordered := 0, make(chan struct{})
	w.fateOf = func() orderFate {
		if count == 0 {
			close(ordered)
		}
		count++
		return all[min(count, len(all))-1]
	}
	return ordered
}

// awaitOpen checks that the engine is never open with an invalid load, and is open in the end.
func (w *world) awaitOpen(d time.Duration) {
	w.t.Helper()
	time.Sleep(d)
	w.checkValid()
	r, ok := w.loader.Report()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !ok || r.Closing || w.heldLayers != (engine.Layers{To: pieceCount}) {
		w.t.Errorf("closed: %t, holds layers %v of %d after orders %v", r.Closing, w.heldLayers, w.held, w.orders)
	}
}

func TestPieceIsNotReplacedWhileItMayHaveBeenLoaded(t *testing.T) {
	playEach(t, 4010*time.Millisecond, 4500*time.Millisecond, 20*time.Millisecond, func(w *world, after time.Duration) {
		w.corruption = &corruption{piece: 0}
		ordered := w.orderInTurn(afterStandstill, atOnce)
		w.release(2)
		<-ordered
		time.Sleep(after)
		w.restartLoader()
		w.awaitOpen(2 * versionTimeout)
	})
}

func TestPieceStoredForAReplacedManifestDoesNotCount(t *testing.T) {
	playEach(t, 80*time.Millisecond, 900*time.Millisecond, 60*time.Millisecond, func(w *world, at time.Duration) {
		w.contents.Store(&contents{{9, 0}, {9, 1}, {9, 2}, {9, 3}})
		w.stageTime = 200 * time.Millisecond
		w.orderInTurn(atOnce)
		w.release(2)
		time.Sleep(at)
		w.contents.Store(nil)
		w.cache.DropManifest(w.Name(writer, 2))
		if _, err := w.Manifest(context.Background(), w.Name(writer, 2)); err != nil {
			w.t.Fatal(err)
		}
		for i := range pieceCount {
			if err := w.cache.Add(chunks.Sum(w.pieceOf(2, i)), w.pieceOf(2, i)); err != nil {
				w.t.Fatal(err)
			}
		}
		w.awaitOpen(versionTimeout)
	})
}

func TestLateStoreOfAnEarlierAgentIsNoticed(t *testing.T) {
	playEach(t, 40*time.Millisecond, 900*time.Millisecond, 3*time.Millisecond, func(w *world, late time.Duration) {
		w.stageTime, w.lateStage = 25*time.Millisecond, late
		w.orderInTurn(atOnce)
		w.release(2)
		time.Sleep(100 * time.Millisecond)
		w.release(3)
		w.restartLoader()
		w.awaitOpen(2 * versionTimeout)
	})
}

func TestLostStoreThatLandsAfterTheOrderProvesNothing(t *testing.T) {
	playEach(t, 4900*time.Millisecond, 5600*time.Millisecond, 10*time.Millisecond, func(w *world, late time.Duration) {
		w.stageTime, w.lateStage, w.readTime = 25*time.Millisecond, late, 20*time.Millisecond
		w.corruption = &corruption{piece: 0}
		w.orderInTurn(afterStandstill, atOnce)
		w.release(2)
		w.awaitOpen(3 * versionTimeout)
	})
}

func TestRefusedOrderIsNotTakenForTheAcceptedOne(t *testing.T) {
	playEach(t, 3500*time.Millisecond, 4300*time.Millisecond, 10*time.Millisecond, func(w *world, late time.Duration) {
		w.stageTime = 50 * time.Millisecond
		w.corruption = &corruption{piece: pieceCount - 1}
		ordered := w.orderInTurn(orderFate{arrivals: []time.Duration{late}}, atOnce)
		w.release(2)
		<-ordered
		w.stop()
		time.Sleep(3500 * time.Millisecond)
		w.mutex.Lock()
		w.statusDelay = 100 * time.Millisecond
		w.mutex.Unlock()
		w.restartLoader()
		w.awaitOpen(3 * versionTimeout)
	})
}

func TestNewAgentNoticesAnOrderOfAPart(t *testing.T) {
	playEach(t, 10*time.Millisecond, 500*time.Millisecond, 20*time.Millisecond, func(w *world, after time.Duration) {
		isFirst, dropped := true, make(chan struct{}, 9)
		w.areDropsSlow = true
		w.corruption = &corruption{piece: 0}
		w.fateOfLayers = func(l engine.Layers) orderFate {
			if l == firstLayer {
				dropped <- struct{}{}
			}
			if isFirst {
				isFirst = false
				return afterStandstill
			}
			return atOnce
		}
		w.release(2)
		<-dropped
		time.Sleep(after)
		w.restartLoader()
		w.awaitOpen(2 * versionTimeout)
	})
}

// TestLayerThatADropLoadsIsValidated has the engine refuse to keep what it loaded last, so that the order for the
// first layer loads it.
func TestLayerThatADropLoadsIsValidated(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		calls := 0
		w.corruption = &corruption{piece: 0}
		w.fateOfLayers = func(engine.Layers) orderFate {
			calls++
			switch calls {
			case 1:
				return afterStandstill
			case 3:
				w.corrupt(2)
				return orderFate{stall: 3900 * time.Millisecond, arrivals: []time.Duration{500 * time.Millisecond}}
			case 5:
				w.corrupt(0)
				return afterStandstill
			}
			return atOnce
		}
		w.release(2)
		w.awaitOpen(4 * versionTimeout)
	})
}

func TestOrderThatReachesARestartedEngineIsValidated(t *testing.T) {
	for _, readTime := range []time.Duration{0, 10 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond} {
			for piece := range pieceCount {
				t.Run(fmt.Sprint(readTime, delay, piece), func(t *testing.T) {
					play(t, 1, 0, func(w *world) {
						w.readTime, w.reachesNewEngine = readTime, true
						w.corruption = &corruption{piece: piece}
						ordered := w.orderInTurn(afterStandstill, atOnce)
						w.release(2)
						<-ordered
						time.Sleep(2 * time.Second)
						w.crash()
						w.mutex.Lock()
						w.statusDelay = delay
						w.mutex.Unlock()
						w.awaitOpen(3 * versionTimeout)
					})
				})
			}
		}
	}
}

// TestDropThatIsInEffectAlreadyIsFollowedByALoad delays the order to drop layers, until a new agent orders the same.
func TestDropThatIsInEffectAlreadyIsFollowedByALoad(t *testing.T) {
	playEach(t, 410*time.Millisecond, 800*time.Millisecond, 20*time.Millisecond, func(w *world, late time.Duration) {
		calls, dropped := 0, make(chan struct{}, 99)
		w.readTime = 300 * time.Millisecond
		w.corruption = &corruption{piece: 0}
		w.fateOfLayers = func(l engine.Layers) orderFate {
			calls++
			if l == firstLayer {
				dropped <- struct{}{}
				if len(dropped) == 1 {
					w.corrupt(0)
					return orderFate{arrivals: []time.Duration{late}}
				}
			}
			if calls == 1 {
				return afterStandstill
			}
			return atOnce
		}
		w.release(2)
		for len(dropped) == 0 {
			time.Sleep(time.Millisecond)
		}
		w.stop()
		time.Sleep(400 * time.Millisecond)
		w.restartLoader()
		w.awaitOpen(time.Minute)
	})
}

// TestDamagedLoadIsMadeAgainBesideAReleaseThatDoesNotArrive releases a version that can't be fetched while the
// engine is closed.
func TestDamagedLoadIsMadeAgainBesideAReleaseThatDoesNotArrive(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		w.corruption = &corruption{piece: 0}
		w.fetchTime[3] = time.Hour
		w.orderInTurn(afterStandstill, atOnce)
		w.release(2)
		time.Sleep(4200 * time.Millisecond)
		w.release(3)
		w.awaitOpen(6 * time.Second)
	})
}

// TestFenceAtAnEngineThatHoldsThePartAlready restarts the agent while its order to hold the first layer alone, and all
// orders for a while, get no response.
func TestFenceAtAnEngineThatHoldsThePartAlready(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		calls := 0
		w.fateOfLayers = func(engine.Layers) orderFate {
			if calls++; calls < 6 {
				return orderFate{arrivals: []time.Duration{200 * time.Millisecond}}
			}
			return atOnce
		}
		w.restartLoader()
		time.Sleep(time.Second)
		w.release(2)
		for isDropped := false; !isDropped; {
			time.Sleep(time.Millisecond)
			w.mutex.Lock()
			isDropped = w.heldLayers == firstLayer
			w.mutex.Unlock()
		}
		w.restartLoader()
		w.awaitOpen(versionTimeout)
		if w.held != 2 || calls > 10 {
			t.Errorf("serves %d after %d orders", w.held, calls)
		}
	})
}
