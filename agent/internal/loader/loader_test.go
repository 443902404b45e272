package loader_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/agent/internal/loader"
	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
	"currantport.example/core/engine"
	"currantport.example/core/feed"
	"currantport.example/core/state"
)

const (
	writer     = "writer"
	pieceCount = 4
	loadTime   = 300 * time.Millisecond
)

var engineAddress = netip.MustParseAddrPort("10.0.0.1:80")

func pieceOf(version, piece int) []byte {
	return []byte(fmt.Sprintf("version %d piece %d", version, piece))
}

// world simulates an engine with its agent and the source of its weights.
type world struct {
	t      *testing.T
	loader *loader.Loader
	// stop ends the loader.
	stop   func()
	mirror *feed.Mirror
	cache  *cache.Cache
	head   state.Revision

	mutex   sync.Mutex
	started time.Time
	staged  map[int][]byte
	held    int
	busy    bool
	leaving bool
	// running is the time that the engine needs to complete its current requests.
	running time.Duration
	// orders are the versions of accepted orders, rejected those of the others.
	orders   []int
	rejected []int
	// ordersBefore is the number of orders before the last restart.
	ordersBefore int
	// fateOf decides what happens to an order. Nil means that each is answered at once.
	fateOf func() orderFate
	// older are the versions that the engine went back to, mixed those whose load began while
	// pieces of another version were staged, both by orders without a response.
	older []int
	mixed []int
	// stageTime is the time that the engine takes to store a piece, lateStage that for the next one,
	// which gets no response.
	stageTime time.Duration
	lateStage time.Duration
	// others is the number of other engines of the pool.
	others int
	// fetchTime is the time that the fetch of a version takes.
	fetchTime map[int]time.Duration
}

// play runs a test of a loader in virtual time.
func play(t *testing.T, held, others int, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, mirror: feed.NewMirror(), cache: cache.New(), held: held, started: time.Now(), others: others, staged: map[int][]byte{}, fetchTime: map[int]time.Duration{}}
		w.release(max(held, 1))
		w.startLoader()
		defer func() { w.stop() }()
		time.Sleep(2 * time.Second)
		if _, ok := w.loader.Report(); !ok {
			t.Error("the loader has no report on its engine")
		}
		test(w)
	})
}

func (w *world) startLoader() {
	w.loader, w.stop = loader.New(loader.Options{
		Pool: "minds", Address: engineAddress, Mirror: w.mirror, Engine: w, Cache: w.cache, Namer: w, Fetcher: w, VersionTimeout: versionTimeout,
		Notify: func() {}, Scope: tally.NoopScope, Log: zap.NewNop(),
	})
}

// restartLoader ends the agent and starts another one, which knows nothing.
func (w *world) restartLoader() {
	w.stop()
	w.cache = cache.New()
	w.startLoader()
}

// release publishes the pool, its engines and a version.
func (w *world) release(version int) {
	w.t.Helper()
	w.head++
	var rows []state.Row
	add := func(r state.Row, err error) {
		if err != nil {
			w.t.Fatal(err)
		}
		r.Revision = w.head
		rows = append(rows, r)
	}
	add(state.EncodePool(&state.Pool{Name: "minds", Engine: &state.Engine{
		Slots: 2, PrefillRate: 100, Layers: 4, Pieces: pieceCount, PieceBytes: 16, Models: []state.Model{{Name: writer, LoadTime: loadTime}},
	}}))
	for _, u := range w.rows() {
		add(state.EncodeUpstream(u))
	}
	add(state.EncodeRelease(state.Release{Model: writer, Version: version}))
	if _, err := w.mirror.Apply(feed.Update{Head: w.head, Rows: rows, Full: true, ConfirmedAt: clocks.Now(), LastContact: clocks.Now()}); err != nil {
		w.t.Fatal(err)
	}
}

// rows returns the other engines of the pool and this one, which has the last roll-out
// slot.
func (w *world) rows() []*state.Upstream {
	held := []state.HeldVersion{{Model: writer, Version: 1, Whole: true}}
	var all []*state.Upstream
	for i := range w.others {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
		all = append(all, &state.Upstream{ID: fmt.Sprint("o", i), Pool: "minds", Address: at, Slots: 2, Started: w.started, Held: held})
	}
	for i := range 100 {
		self := &state.Upstream{ID: fmt.Sprint("e", i), Pool: "minds", Address: engineAddress, Slots: 2, Started: w.started, Held: held}
		pool := append(slices.Clone(all), self)
		if loader.NewRolloutSlot(time.Now(), time.Now(), writer, 2, self, pool).Rank == len(all) {
			return pool
		}
	}
	w.t.Fatal("no ID gives the last slot")
	return nil
}

func (w *world) Name(_ string, version int) chunks.Digest {
	return chunks.Sum([]byte(strconv.Itoa(version)))
}

func (w *world) versionOf(name chunks.Digest) int {
	for v := 1; ; v++ {
		if w.Name(writer, v) == name {
			return v
		}
	}
}

func (w *world) Manifest(_ context.Context, name chunks.Digest) (*cache.Version, error) {
	v := w.versionOf(name)
	m := &chunks.Manifest{ChunkBytes: int64(len(pieceOf(v, 0)))}
	for i := range pieceCount {
		m.Files = append(m.Files, chunks.File{Path: strconv.Itoa(i), Size: m.ChunkBytes, Chunks: []chunks.Digest{chunks.Sum(pieceOf(v, i))}})
	}
	data, err := m.Encode()
	if err != nil {
		return nil, err
	}
	return w.cache.AddManifest(name, data)
}

func (w *world) Fetch(ctx context.Context, name chunks.Digest) (*cache.Version, error) {
	v := w.versionOf(name)
	version, err := w.Manifest(ctx, name)
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	fetchTime := w.fetchTime[v]
	w.mutex.Unlock()
	if !clocks.Sleep(ctx, fetchTime) {
		return nil, ctx.Err()
	}
	for i := range pieceCount {
		if err := w.cache.Add(chunks.Sum(pieceOf(v, i)), pieceOf(v, i)); err != nil {
			return nil, err
		}
	}
	return version, nil
}

func (w *world) Status(context.Context) (engine.Status, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	s := engine.Status{Started: w.started, Busy: w.busy, OrderCount: w.orderCount(), Leaving: w.leaving, TotalTokens: 100, Pace: 1}
	if w.held > 0 {
		s.Held = []state.HeldVersion{{Model: writer, Version: w.held, Whole: true}}
	}
	return s, nil
}

func (w *world) Staged(context.Context, string) ([]int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var all []int
	for n := range w.staged {
		all = append(all, n)
	}
	slices.Sort(all)
	return all, nil
}

func (w *world) ReadStaged(_ context.Context, _ string, piece int) ([]byte, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return bytes.Clone(w.staged[piece]), nil
}

func (w *world) Stage(ctx context.Context, _ string, piece int, data []byte) error {
	w.mutex.Lock()
	stageTime, lateStage := w.stageTime, w.lateStage
	w.lateStage = 0
	w.mutex.Unlock()
	if lateStage > 0 {
		time.AfterFunc(lateStage, func() { w.store(piece, data) })
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(stageTime)
	w.store(piece, data)
	return nil
}

func (w *world) store(piece int, data []byte) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.staged[piece] = bytes.Clone(data)
}

// orderFate is what happens to an order on its way.
type orderFate struct {
	// arrivals are the delays after which the engine receives it, or a copy of it.
	arrivals []time.Duration
	// answered is set if the response to the first arrival reaches the agent.
	answered bool
}

func (w *world) Load(ctx context.Context, _ string, version int, expected uint64) (engine.Ack, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.fateOf != nil {
		fate, started := w.fateOf(), w.started
		w.mutex.Unlock()
		defer w.mutex.Lock()
		return w.deliver(ctx, started, version, expected, fate)
	}
	if w.busy || expected != w.orderCount() {
		w.rejected = append(w.rejected, version)
		return engine.AckConflict, nil
	}
	for i := range pieceCount {
		if !bytes.Equal(w.staged[i], pieceOf(version, i)) {
			w.t.Errorf("version %d is ordered with %q as piece %d", version, w.staged[i], i)
		}
	}
	w.accept(version)
	return engine.AckStarted, nil
}

// deliver lets the engine that started then receive an order.
func (w *world) deliver(ctx context.Context, started time.Time, version int, expected uint64, fate orderFate) (engine.Ack, error) {
	acks := make(chan engine.Ack, len(fate.arrivals))
	for _, delay := range fate.arrivals {
		time.AfterFunc(delay, func() {
			if ack, ok := w.receive(started, version, expected); ok && fate.answered {
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
func (w *world) receive(started time.Time, version int, expected uint64) (engine.Ack, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case !w.started.Equal(started):
		return "", false
	case w.busy || expected != w.orderCount():
		return engine.AckConflict, true
	case w.held == version:
		return engine.AckDone, true
	}
	for i := range pieceCount {
		if !bytes.Equal(w.staged[i], pieceOf(version, i)) {
			w.mixed = append(w.mixed, version)
			break
		}
	}
	w.accept(version)
	return engine.AckStarted, true
}

// orderCount returns the number of orders since the last restart. The caller holds the mutex.
func (w *world) orderCount() uint64 { return uint64(len(w.orders) - w.ordersBefore) }

// accept begins to load a version. The caller holds the mutex.
func (w *world) accept(version int) {
	w.busy, w.orders = true, append(w.orders, version)
	started := w.started
	time.AfterFunc(w.running+loadTime, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if !w.started.Equal(started) {
			return
		}
		if version < w.held {
			w.older = append(w.older, version)
		}
		w.held, w.busy = version, false
	})
}

func (w *world) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.started, w.held, w.busy, w.ordersBefore = time.Now(), 0, false, len(w.orders)
}

func (w *world) check(held int, orders ...int) {
	w.t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.held != held || !slices.Equal(w.orders, orders) || len(w.rejected) > 0 {
		w.t.Errorf("serves %d after orders %v, rejected %v; want %d after %v", w.held, w.orders, w.rejected, held, orders)
	}
}

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

func TestReleaseSeenLateIsLoadedInTime(t *testing.T) {
	play(t, 1, 5, func(w *world) {
		// The tables were last confirmed 4 s before the release is seen.
		time.Sleep(2 * time.Second)
		w.release(2)
		time.Sleep(versionTimeout - 4*time.Second)
		w.check(2, 2)
	})
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
			w.check(3, 3)
		})
	}
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
