package loader_test

import (
	"bytes"
	"context"
	"fmt"
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

var engineAt = netip.MustParseAddrPort("10.0.0.1:80")

func pieceOf(version, piece int) []byte {
	return []byte(fmt.Sprintf("version %d piece %d", version, piece))
}

// house is an engine with its agent, and where weights come from.
type house struct {
	t      *testing.T
	mirror *feed.Mirror
	cache  *cache.Cache
	head   state.Revision

	mutex   sync.Mutex
	started time.Time
	staged  map[int][]byte
	held    int
	busy    bool
	// running is for how long the engine is at work with what it has.
	running time.Duration
	// orders holds the versions that were ordered, unfit those of orders that didn't fit.
	orders []int
	unfit  []int
	// others is the number of engines beside this one.
	others int
	// slow is how long the fetch of a version takes.
	slow map[int]time.Duration
}

// play runs a test of a loader in virtual time.
func play(t *testing.T, held, others int, test func(h *house)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &house{t: t, mirror: feed.NewMirror(), cache: cache.New(), held: held, started: time.Now(), others: others, staged: map[int][]byte{}, slow: map[int]time.Duration{}}
		h.release(max(held, 1))
		l, stop := loader.New(loader.Options{
			Pool: "minds", Address: engineAt, Mirror: h.mirror, Engine: h, Cache: h.cache, Namer: h, Fetcher: h, RolloutLimit: within,
			Notify: func() {}, Scope: tally.NoopScope, Log: zap.NewNop(),
		})
		defer stop()
		time.Sleep(2 * time.Second)
		if _, ok := l.Report(); !ok {
			t.Error("the loader doesn't know its engine")
		}
		test(h)
	})
}

// release publishes the pool, its engine and a version.
func (h *house) release(version int) {
	h.t.Helper()
	h.head++
	var rows []state.Row
	add := func(r state.Row, err error) {
		if err != nil {
			h.t.Fatal(err)
		}
		r.Revision = h.head
		rows = append(rows, r)
	}
	add(state.EncodePool(&state.Pool{Name: "minds", Engine: &state.Engine{
		Slots: 2, PrefillRate: 100, Layers: 4, Pieces: pieceCount, PieceBytes: 16, Models: []state.Model{{Name: writer, LoadTime: loadTime}},
	}}))
	for _, u := range h.rows() {
		add(state.EncodeUpstream(u))
	}
	add(state.EncodeRelease(state.Release{Model: writer, Version: version}))
	if _, err := h.mirror.Apply(feed.Update{Head: h.head, Rows: rows, Full: true, ConfirmedAt: clocks.Now(), LastContact: clocks.Now()}); err != nil {
		h.t.Fatal(err)
	}
}

// rows returns the engine and those beside it in the pool. It loads a version after all of
// them.
func (h *house) rows() []*state.Upstream {
	held := []state.HeldVersion{{Model: writer, Version: 1, Whole: true}}
	var all []*state.Upstream
	for i := range h.others {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80)
		all = append(all, &state.Upstream{ID: fmt.Sprint("o", i), Pool: "minds", Address: at, Slots: 2, Started: h.started, Held: held})
	}
	for i := range 100 {
		own := &state.Upstream{ID: fmt.Sprint("e", i), Pool: "minds", Address: engineAt, Slots: 2, Started: h.started, Held: held}
		with := append(slices.Clone(all), own)
		if loader.NewRolloutSlot(time.Now(), writer, 2, own, with).Rank == len(all) {
			return with
		}
	}
	h.t.Fatal("no id gives the last turn")
	return nil
}

func (h *house) Name(_ string, version int) chunks.Digest {
	return chunks.Sum([]byte(strconv.Itoa(version)))
}

func (h *house) versionOf(name chunks.Digest) int {
	for v := 1; ; v++ {
		if h.Name(writer, v) == name {
			return v
		}
	}
}

func (h *house) Manifest(_ context.Context, name chunks.Digest) (*cache.Version, error) {
	v := h.versionOf(name)
	m := &chunks.Manifest{ChunkBytes: int64(len(pieceOf(v, 0)))}
	for i := range pieceCount {
		m.Files = append(m.Files, chunks.File{Path: strconv.Itoa(i), Size: m.ChunkBytes, Chunks: []chunks.Digest{chunks.Sum(pieceOf(v, i))}})
	}
	data, err := m.Encode()
	if err != nil {
		return nil, err
	}
	return h.cache.AddManifest(name, data)
}

func (h *house) Fetch(ctx context.Context, name chunks.Digest) (*cache.Version, error) {
	v := h.versionOf(name)
	version, err := h.Manifest(ctx, name)
	if err != nil {
		return nil, err
	}
	h.mutex.Lock()
	slow := h.slow[v]
	h.mutex.Unlock()
	if !clocks.Sleep(ctx, slow) {
		return nil, ctx.Err()
	}
	for i := range pieceCount {
		if err := h.cache.Add(chunks.Sum(pieceOf(v, i)), pieceOf(v, i)); err != nil {
			return nil, err
		}
	}
	return version, nil
}

func (h *house) Status(context.Context) (engine.Status, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	s := engine.Status{Started: h.started, Busy: h.busy, OrderCount: uint64(len(h.orders)), TotalTokens: 100, Pace: 1}
	if h.held > 0 {
		s.Held = []state.HeldVersion{{Model: writer, Version: h.held, Whole: true}}
	}
	return s, nil
}

func (h *house) Staged(context.Context, string) ([]int, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var all []int
	for n := range h.staged {
		all = append(all, n)
	}
	slices.Sort(all)
	return all, nil
}

func (h *house) ReadStaged(_ context.Context, _ string, piece int) ([]byte, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return bytes.Clone(h.staged[piece]), nil
}

func (h *house) Stage(_ context.Context, _ string, piece int, data []byte) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.staged[piece] = bytes.Clone(data)
	return nil
}

func (h *house) Load(_ context.Context, _ string, version int) (engine.Ack, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.busy {
		h.unfit = append(h.unfit, version)
		return engine.AckConflict, nil
	}
	for i := range pieceCount {
		if !bytes.Equal(h.staged[i], pieceOf(version, i)) {
			h.t.Errorf("version %d is ordered with %q as piece %d", version, h.staged[i], i)
		}
	}
	h.busy, h.orders = true, append(h.orders, version)
	started := h.started
	time.AfterFunc(h.running+loadTime, func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		if h.started.Equal(started) {
			h.held, h.busy = version, false
		}
	})
	return engine.AckStarted, nil
}

func (h *house) crash() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.started, h.held, h.busy = time.Now(), 0, false
}

func (h *house) check(held int, orders ...int) {
	h.t.Helper()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.held != held || !slices.Equal(h.orders, orders) || len(h.unfit) > 0 {
		h.t.Errorf("serves %d after orders %v, of which didn't fit %v; want %d after %v", h.held, h.orders, h.unfit, held, orders)
	}
}

func TestReleasedVersionIsLoadedOnce(t *testing.T) {
	play(t, 1, 0, func(h *house) {
		h.release(2)
		time.Sleep(within)
		h.check(2, 2)
	})
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	play(t, 0, 0, func(h *house) { h.check(1, 1) })
}

// TestSpoiltPieceIsReplacedBeforeTheOrder changes a staged piece while the engine waits for
// its turn, long before it is ordered. The fake engine fails the test if it is to load it.
func TestSpoiltPieceIsReplacedBeforeTheOrder(t *testing.T) {
	play(t, 1, 5, func(h *house) {
		h.release(2)
		time.Sleep(time.Second)
		h.mutex.Lock()
		if len(h.staged) != pieceCount || len(h.orders) > 0 {
			t.Errorf("%d pieces are staged, orders: %v", len(h.staged), h.orders)
		}
		h.staged[2] = []byte("spoilt")
		h.mutex.Unlock()
		time.Sleep(within)
		h.check(2, 2)
	})
}

func TestEngineThatStartedAnewIsLoadedAgain(t *testing.T) {
	play(t, 1, 0, func(h *house) {
		h.crash()
		h.release(1)
		time.Sleep(2 * time.Second)
		h.check(1, 1)
	})
}

// TestBusyEngineGetsNoOrder releases a version while the engine is about to load the one
// before, and once more so late that the one before is finished first. Found by the soak: an
// order for a version whose load was in progress came a second time.
func TestBusyEngineGetsNoOrder(t *testing.T) {
	for _, gap := range []time.Duration{200 * time.Millisecond, time.Second, 3500 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			play(t, 1, 0, func(h *house) {
				h.mutex.Lock()
				h.running, h.slow[3] = 2*time.Second, 3*time.Second
				h.mutex.Unlock()
				h.release(2)
				time.Sleep(gap)
				h.release(3)
				time.Sleep(2 * within)
				h.mutex.Lock()
				defer h.mutex.Unlock()
				if h.held != 3 || len(h.unfit) > 0 {
					t.Errorf("serves %d after orders %v, of which didn't fit: %v", h.held, h.orders, h.unfit)
				}
			})
		})
	}
}
