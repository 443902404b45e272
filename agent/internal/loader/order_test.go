package loader_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantport.example/core/engine"
)

// orderFate is what happens to an order on its way.
type orderFate struct {
	// arrivals are the delays after which the engine receives it, or a copy of it.
	arrivals []time.Duration
	// answered is set if the response to the first arrival reaches the agent.
	answered bool
	// stall is the time for which the process of the agent stands still before the order is sent.
	stall time.Duration
}

// order is an order on its way.
type order struct {
	version  int
	layers   engine.Layers
	expected uint64
}

// wanted returns the layers that the order names.
func (o order) wanted() engine.Layers {
	if o.layers == (engine.Layers{}) {
		return engine.Layers{To: pieceCount}
	}
	return o.layers
}

// keptLayers returns those of the layers that an engine holds and keeps. The caller holds the mutex.
func (w *world) keptLayers(version int, layers engine.Layers) engine.Layers {
	if version != w.held {
		return engine.Layers{}
	}
	kept, _ := layers.Intersect(w.heldLayers)
	return kept
}

// deliver lets the engine that started then receive an order.
func (w *world) deliver(ctx context.Context, started time.Time, o order, fate orderFate) (engine.Ack, error) {
	acks := make(chan engine.Ack, len(fate.arrivals))
	for _, delay := range fate.arrivals {
		time.AfterFunc(delay, func() {
			if ack, ok := w.receive(started, o); ok && fate.answered {
				acks <- ack
			}
		})
	}
	select {
	case ack := <-acks:
		return ack, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// receive handles an order that was sent to the engine that started then.
func (w *world) receive(started time.Time, o order) (engine.Ack, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case !w.started.Equal(started):
		return "", false
	case w.busy || o.expected != w.orderCount():
		return engine.AckConflict, true
	case w.held == o.version && w.heldLayers == o.wanted():
		return engine.AckDone, true
	}
	kept := w.keptLayers(o.version, o.wanted())
	for i := o.wanted().From; i < o.wanted().To; i++ {
		if (i < kept.From || i >= kept.To) && !bytes.Equal(w.staged[i], w.pieceOf(o.version, i)) {
			w.mixed = append(w.mixed, o.version)
			break
		}
	}
	w.accept(o.version, o.layers)
	return engine.AckStarted, true
}

// playLostOrder releases two versions. The orders of the first one get no response and take effect
// after the delays.
func playLostOrder(t *testing.T, test func(w *world), delays ...time.Duration) {
	t.Helper()
	play(t, 1, 0, func(w *world) {
		w.mutex.Lock()
		w.stageTime, w.fetchTime[3] = 50*time.Millisecond, 300*time.Millisecond
		w.fateOf = func() orderFate {
			if len(delays) == 0 {
				return orderFate{arrivals: []time.Duration{0}, answered: true}
			}
			fate := orderFate{arrivals: delays[:1]}
			delays = delays[1:]
			return fate
		}
		w.mutex.Unlock()
		w.release(2)
		time.Sleep(500 * time.Millisecond)
		w.release(3)
		time.Sleep(2 * versionTimeout)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.held != 3 {
			t.Errorf("orders late by %v: serves %d after orders %v", delays, w.held, w.orders)
		}
		test(w)
	})
}

func TestOrderWithoutResponseDoesNotBringBackOlderVersion(t *testing.T) {
	for delay := 500 * time.Millisecond; delay <= 6*time.Second; delay += 500 * time.Millisecond {
		playLostOrder(t, func(w *world) {
			if len(w.older) > 0 {
				t.Errorf("an order late by %v: went back to %v after orders %v", delay, w.older, w.orders)
			}
		}, delay)
	}
}

func TestPiecesAreNotReplacedWhileAnOrderMayTakeEffect(t *testing.T) {
	for delay := 900 * time.Millisecond; delay <= 3*time.Second; delay += 50 * time.Millisecond {
		playLostOrder(t, func(w *world) {
			if len(w.mixed) > 0 {
				t.Errorf("an order late by %v: versions %v were loaded with pieces of others", delay, w.mixed)
			}
		}, delay, time.Minute)
	}
}

// TestEngineNeitherGoesBackNorMixesOverLostOrders loses, delays and doubles orders and their responses
// for 20 s, while versions are released and the engine restarts.
func TestEngineNeitherGoesBackNorMixesOverLostOrders(t *testing.T) {
	for seed := range uint64(seedCount) {
		random, fates := rand.New(rand.NewPCG(seed, 32)), rand.New(rand.NewPCG(seed, 33))
		upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
		play(t, 1, random.IntN(4), func(w *world) {
			w.mutex.Lock()
			w.stageTime, w.running = upTo(60*time.Millisecond), upTo(time.Second)
			end := time.Now().Add(20 * time.Second)
			w.fateOf = func() orderFate {
				if time.Now().After(end) {
					return orderFate{arrivals: []time.Duration{0}, answered: true}
				}
				return randomFate(fates)
			}
			w.mutex.Unlock()
			newest := 1
			for time.Now().Before(end) {
				switch random.IntN(40) {
				case 0:
					w.crash()
				case 1, 2, 3, 4, 5, 6, 7, 8:
					newest++
					w.mutex.Lock()
					w.fetchTime[newest] = upTo(2 * time.Second)
					w.mutex.Unlock()
				}
				w.release(newest)
				time.Sleep(upTo(time.Second))
			}
			time.Sleep(versionTimeout)
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if len(w.older) > 0 || len(w.mixed) > 0 || w.held != newest {
				t.Errorf("seed %d: went back to %v, mixed versions %v, serves %d, newest %d, orders %v", seed, w.older, w.mixed, w.held, newest, w.orders)
			}
		})
	}
}

// seedCount is the number of plays of random faults.
const seedCount = 200

func randomFate(random *rand.Rand) orderFate {
	late := func() time.Duration { return time.Duration(random.Int64N(int64(6 * time.Second))) }
	switch random.IntN(6) {
	case 0:
		return orderFate{}
	case 1:
		return orderFate{arrivals: []time.Duration{0}}
	case 2, 3:
		return orderFate{arrivals: []time.Duration{late()}}
	case 4:
		return orderFate{arrivals: []time.Duration{0, late()}, answered: true}
	default:
		return orderFate{arrivals: []time.Duration{0}, answered: true}
	}
}

// TestEngineIsWatchedWhileAnOrderWaits has an engine begin to leave, and a version be released, while
// an order gets no response.
func TestEngineIsWatchedWhileAnOrderWaits(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		ordered := make(chan struct{}, 9)
		w.mutex.Lock()
		w.fateOf = func() orderFate {
			ordered <- struct{}{}
			return orderFate{}
		}
		w.mutex.Unlock()
		w.release(2)
		<-ordered
		w.release(3)
		w.mutex.Lock()
		w.leaving = true
		w.mutex.Unlock()
		time.Sleep(100 * time.Millisecond)
		if r, ok := w.loader.Report(); !ok || !r.Status.Leaving {
			t.Errorf("after 100 ms: %+v %t", r.Status, ok)
		}
		if v, err := w.Manifest(t.Context(), w.Name(writer, 3)); err != nil || slices.Contains(w.cache.Held(v), false) {
			t.Errorf("the next version isn't fetched after 100 ms: %v", err)
		}
	})
}

// TestNewAgentDoesNotReplacePiecesOfAnOpenOrder restarts the agent while its order of version 2 may take
// effect, and releases version 3.
func TestNewAgentDoesNotReplacePiecesOfAnOpenOrder(t *testing.T) {
	for late := time.Second; late <= 3*time.Second; late += 50 * time.Millisecond {
		play(t, 1, 0, func(w *world) {
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
			time.Sleep(versionTimeout)
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if len(w.mixed) > 0 || w.held != 3 {
				t.Errorf("an order late by %v: versions %v were loaded with pieces of others, serves %d", late, w.mixed, w.held)
			}
		})
	}
}
