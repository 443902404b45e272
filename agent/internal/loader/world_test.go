package loader_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
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

// pieceOf returns the content of a piece.
func (w *world) pieceOf(version, piece int) []byte {
	if c := w.contents.Load(); c != nil && version == 2 {
		version, piece = c[piece].version, c[piece].piece
	}
	return []byte(fmt.Sprintf("version %d piece %d", version, piece))
}

// contents names the piece whose content each piece of a version has.
type contents [pieceCount]struct{ version, piece int }

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
	// fateOfLayers does that by the layers that the order names, if it isn't nil.
	fateOfLayers func(l engine.Layers) orderFate
	// areDropsSlow is set if the engine takes the time of a load to drop layers, reachesNewEngine if an order
	// is received by the process that runs when the agent goes on.
	areDropsSlow     bool
	reachesNewEngine bool
	// older are the versions that the engine went back to, mixed those whose load began while
	// pieces of another version were staged, both by orders without a response.
	older []int
	mixed []int
	// heldLayers are those that the engine holds. heldFaults and loadFaults are why tokens of the layers
	// that it holds and loads would be wrong, exposed those with which it was open for requests.
	heldLayers engine.Layers
	heldFaults faults
	loadFaults faults
	exposed    []string
	// notified receives the notifications of the loader.
	notified chan struct{}
	// corruption is the next one, corruptSince when the staged pieces that are corrupt became so.
	corruption   *corruption
	corruptSince map[int]time.Time
	// readTime is the time that the engine takes to send a staged piece. If readers isn't nil, it sends one
	// after the other.
	readTime time.Duration
	readers  chan struct{}
	// stalledUntil is the time until which the process of the agent stands still.
	stalledUntil time.Time
	// statusDelay is the time after which the agent handles a status.
	statusDelay time.Duration
	// ended is closed at the end of the play.
	ended chan struct{}
	// stageTime is the time that the engine takes to store a piece, lateStage that for the next one,
	// which gets no response.
	stageTime time.Duration
	lateStage time.Duration
	// others is the number of other engines of the pool.
	others int
	// fetchTime is the time that the fetch of a version takes.
	fetchTime map[int]time.Duration
	// contents are those of version 2, if its pieces don't have contents of their own.
	contents atomic.Pointer[contents]
}

// play runs a test of a loader in virtual time.
func play(t *testing.T, held, others int, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, mirror: feed.NewMirror(), cache: cache.New(), held: held, heldLayers: engine.Layers{To: pieceCount}, started: time.Now(), others: others, staged: map[int][]byte{}, fetchTime: map[int]time.Duration{}, corruptSince: map[int]time.Time{}, ended: make(chan struct{}), notified: make(chan struct{}, 1)}
		for i := range pieceCount {
			if held > 0 {
				w.staged[i] = w.pieceOf(held, i)
			}
		}
		w.release(max(held, 1))
		w.startLoader()
		defer func() { w.stop() }()
		defer close(w.ended)
		go w.observe()
		// No order of an earlier agent may be accepted any more.
		time.Sleep(10 * time.Second)
		w.release(max(held, 1))
		time.Sleep(2 * time.Second)
		if _, ok := w.loader.Report(); !ok {
			t.Error("the loader has no report on its engine")
		}
		test(w)
	})
}

func (w *world) notify() {
	select {
	case w.notified <- struct{}{}:
	default:
	}
}

// current returns the loader of the agent that runs.
func (w *world) current() *loader.Loader {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.loader
}

func (w *world) startLoader() {
	l, stop := loader.New(loader.Options{
		Pool: "minds", Address: engineAddress, Mirror: w.mirror, Engine: w, Cache: w.cache, Namer: w, Fetcher: w, VersionTimeout: versionTimeout,
		Notify: w.notify, Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.loader, w.stop = l, stop
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
	m := &chunks.Manifest{ChunkBytes: int64(len(w.pieceOf(v, 0)))}
	for i := range pieceCount {
		m.Files = append(m.Files, chunks.File{Path: strconv.Itoa(i), Size: m.ChunkBytes, Chunks: []chunks.Digest{chunks.Sum(w.pieceOf(v, i))}})
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
		if err := w.cache.Add(chunks.Sum(w.pieceOf(v, i)), w.pieceOf(v, i)); err != nil {
			return nil, err
		}
	}
	return version, nil
}

// awaitProcess returns once the process of the agent doesn't stand still.
func (w *world) awaitProcess() {
	w.mutex.Lock()
	until := w.stalledUntil
	w.mutex.Unlock()
	time.Sleep(time.Until(until))
}

func (w *world) Status(context.Context) (engine.Status, error) {
	w.awaitProcess()
	w.mutex.Lock()
	s, delay := w.status(), w.statusDelay
	w.mutex.Unlock()
	time.Sleep(delay)
	return s, nil
}

// status returns the status of the engine. The caller holds the mutex.
func (w *world) status() engine.Status {
	s := engine.Status{Started: w.started, Busy: w.busy, OrderCount: w.orderCount(), Leaving: w.leaving, TotalTokens: 100, Pace: 1}
	if w.held > 0 {
		s.Held = []state.HeldVersion{{Model: writer, Version: w.held, Whole: w.mirror.Snapshot().Pool("minds") != nil && w.heldLayers == engine.Layers{To: pieceCount}}}
		s.Layers = w.heldLayers
	}
	return s
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
	w.awaitProcess()
	if w.readers != nil {
		w.readers <- struct{}{}
		defer func() { <-w.readers }()
	}
	w.mutex.Lock()
	readTime := w.readTime
	w.mutex.Unlock()
	time.Sleep(readTime / 2)
	data := w.read(piece)
	time.Sleep(readTime - readTime/2)
	w.awaitProcess()
	if data == nil {
		return nil, engine.ErrNotStaged
	}
	return data, nil
}

// read returns a staged piece, which may become corrupt right after it.
func (w *world) read(piece int) []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	data := bytes.Clone(w.staged[piece])
	if c := w.corruption; c != nil && c.piece == piece && c.afterReads > 0 {
		if c.afterReads--; c.afterReads == 0 {
			w.corruption = nil
			w.corrupt(piece)
		}
	}
	return data
}

func (w *world) Stage(ctx context.Context, _ string, piece int, data []byte) error {
	w.awaitProcess()
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
	delete(w.corruptSince, piece)
}

func (w *world) Load(ctx context.Context, _ string, version int, layers engine.Layers, expected uint64) (engine.Ack, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if c := w.corruption; c != nil && c.afterReads == 0 {
		w.corruption = nil
		w.corrupt(c.piece)
	}
	if w.fateOf != nil || w.fateOfLayers != nil {
		fate, started := w.fateOfOrder(layers), w.started
		w.stalledUntil = time.Now().Add(fate.stall)
		w.mutex.Unlock()
		defer w.mutex.Lock()
		w.awaitProcess()
		if w.reachesNewEngine {
			w.mutex.Lock()
			started = w.started
			w.mutex.Unlock()
		}
		return w.deliver(ctx, started, order{version: version, layers: layers, expected: expected}, fate)
	}
	if w.busy || expected != w.orderCount() {
		w.rejected = append(w.rejected, version)
		return engine.AckConflict, nil
	}
	for i := range pieceCount {
		if !bytes.Equal(w.staged[i], w.pieceOf(version, i)) {
			w.t.Errorf("version %d is ordered with %q as piece %d", version, w.staged[i], i)
		}
	}
	w.accept(version, layers)
	return engine.AckStarted, nil
}

// fateOfOrder returns what happens to an order. The caller holds the mutex.
func (w *world) fateOfOrder(l engine.Layers) orderFate {
	if w.fateOfLayers != nil {
		return w.fateOfLayers(l)
	}
	return w.fateOf()
}

// orderCount returns the number of orders since the last restart. The caller holds the mutex.
func (w *world) orderCount() uint64 { return uint64(len(w.orders) - w.ordersBefore) }

// accept begins to load a version. The caller holds the mutex.
func (w *world) accept(version int, layers engine.Layers) {
	w.orders = append(w.orders, version)
	if layers == (engine.Layers{}) {
		layers.To = pieceCount
	}
	kept := w.keptLayers(version, layers)
	w.loadFaults = w.loadFault(version, layers, kept)
	if kept == layers && !w.areDropsSlow {
		w.heldLayers, w.heldFaults = layers, w.loadFaults
		return
	}
	w.busy = true
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
		w.held, w.busy, w.heldLayers, w.heldFaults = version, false, layers, w.loadFaults
	})
}

func (w *world) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.started, w.held, w.busy, w.ordersBefore, w.heldLayers, w.heldFaults = time.Now(), 0, false, len(w.orders), engine.Layers{}, faults{}
}

func (w *world) check(held int, orders ...int) {
	w.t.Helper()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.held != held || !slices.Equal(w.orders, orders) || len(w.rejected) > 0 {
		w.t.Errorf("serves %d after orders %v, rejected %v; want %d after %v", w.held, w.orders, w.rejected, held, orders)
	}
}
