package feed_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func release(version int) state.Row {
	r, err := state.EncodeRelease(state.Release{Model: "m", Version: version})
	if err != nil {
		panic(err)
	}
	return r
}

func at(revision state.Revision, r state.Row) state.Row {
	r.Revision = revision
	return r
}

func TestCopyNeverGoesBack(t *testing.T) {
	m := feed.NewMirror()
	now := time.Now()
	offer := func(head state.Revision, full bool, rows ...state.Row) {
		t.Helper()
		if _, err := m.Apply(feed.Update{Head: head, Full: full, Rows: rows, ConfirmedAt: now, LastContact: now}); err != nil {
			t.Fatal(err)
		}
	}
	offer(5, true, at(5, release(2)))
	offer(4, true, at(4, release(9)))
	if v := m.Snapshot().Release("m").Version; v != 2 || m.Head() != 5 {
		t.Errorf("version %d at %d", v, m.Head())
	}
	offer(6, false, at(6, release(3)))
	offer(6, true, at(6, release(3)))
	if v := m.Snapshot().Release("m").Version; v != 3 {
		t.Errorf("version %d", v)
	}
	offer(7, true)
	if v := m.Snapshot().Release("m").Version; v != state.FirstVersion {
		t.Errorf("a row that a full update lacks is still there: %d", v)
	}
}

func TestProofNeverGoesBack(t *testing.T) {
	m := feed.NewMirror()
	if _, ok := m.Staleness(); ok {
		t.Error("a copy without an update has an age")
	}
	later := time.Now()
	for _, p := range []time.Time{later, later.Add(-time.Second)} {
		if _, err := m.Apply(feed.Update{Head: 1, Full: true, ConfirmedAt: p, LastContact: p}); err != nil {
			t.Fatal(err)
		}
	}
	if !m.ConfirmedAt().Equal(later) || !m.LastContact().Equal(later) {
		t.Errorf("proven %v, contact %v, want %v", m.ConfirmedAt(), m.LastContact(), later)
	}
}

func TestDivergedCopyIsFound(t *testing.T) {
	source, m := feed.NewMirror(), feed.NewMirror()
	must := func(_ feed.Change, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(source.Apply(feed.Update{Head: 1, Full: true, Rows: []state.Row{at(1, release(1))}}))
	must(source.Apply(feed.Update{Head: 3, Rows: nil}))
	must(m.Apply(feed.Update{Head: 2, Full: true, Rows: []state.Row{at(2, release(7))}}))
	u, ok := source.UpdateSince(2, nil)
	if !ok {
		t.Fatal("no update")
	}
	if _, err := m.Apply(u); !errors.Is(err, feed.ErrDiverged) {
		t.Errorf("error %v", err)
	}
	u, _ = source.UpdateSince(0, nil)
	must(m.Apply(u))
	if v := m.Snapshot().Release("m").Version; v != 1 {
		t.Errorf("version %d", v)
	}
}

func TestScopeLeavesOtherRowsOut(t *testing.T) {
	m := feed.NewMirror()
	rows := []state.Row{
		at(1, release(1)),
		{Key: "route/r", Value: []byte("{}"), Revision: 1},
		{Key: "upstream/p/u", Value: []byte("{}"), Revision: 1},
		{Key: "upstream/q/u", Value: []byte("{}"), Revision: 1},
	}
	_, _ = m.Apply(feed.Update{Head: 1, Full: true, Rows: rows})
	u, _ := m.UpdateSince(0, feed.AgentScope("p"))
	var keys []string
	for _, r := range u.Rows {
		keys = append(keys, r.Key)
	}
	slices.Sort(keys)
	if want := []string{"release/m", "upstream/p/u"}; !slices.Equal(keys, want) {
		t.Errorf("keys %v, want %v", keys, want)
	}
	own := feed.NewMirror()
	if _, err := own.Apply(u); err != nil {
		t.Error("the sum doesn't cover the scope: ", err)
	}
}

func TestOneEntryOfEachDomainReadsThePlatform(t *testing.T) {
	var entries []hosts.Host
	for i := range 9 {
		domain := hosts.Domain(fmt.Sprintf("d%d", i%3))
		entries = append(entries, hosts.Host{
			Name: hosts.Name(fmt.Sprintf("e%d", i)), Role: hosts.RoleEntry, Place: hosts.Place{Region: hosts.Region(domain), Domain: domain},
		})
	}
	direct := make(map[hosts.Domain]int)
	for _, h := range entries {
		order := feed.Identity{Self: h.Name, Place: h.Place, Role: hosts.RoleEntry}.SourceOrder(entries)
		if order[0] == feed.PlatformSource {
			direct[h.Place.Domain]++
		}
		if slices.Contains(order, h.Name) {
			t.Errorf("%s pulls from itself", h.Name)
		}
	}
	if want := map[hosts.Domain]int{"d0": 1, "d1": 1, "d2": 1}; !maps.Equal(direct, want) {
		t.Errorf("leaders %v", direct)
	}
	agent := feed.Identity{Self: "a", Place: entries[0].Place, Role: hosts.RoleAgent}.SourceOrder(entries)
	if len(agent) != 10 || agent[9] != feed.PlatformSource || hosts.NewList(entries).Len() != 9 {
		t.Errorf("an agent's sources %v", agent)
	}
}

// platform publishes one release and is read by several processes.
type platform struct {
	mutex   sync.Mutex
	head    state.Revision
	version int
	changed chan struct{}
	reads   int
}

// counted returns the number of reads.
func (p *platform) counted() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads
}

func (p *platform) publish(version int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.head++
	p.version = version
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) update(after state.Revision) feed.Update {
	u := feed.Update{Head: p.head, Full: after == 0}
	if after < p.head {
		u.Rows = []state.Row{at(p.head, release(p.version))}
	}
	return u
}

// reader is the platform as one process reaches it.
type reader struct {
	world *world
	self  hosts.Name
}

func (r *reader) Pull(ctx context.Context, after state.Revision, wait time.Duration) (feed.Update, error) {
	asked := time.Now()
	p := &r.world.platform
	p.mutex.Lock()
	p.reads++
	changed, u := p.changed, p.update(after)
	p.mutex.Unlock()
	if err := r.world.reach(ctx, r.self, feed.PlatformSource); err != nil {
		return feed.Update{}, err
	}
	if after == u.Head {
		select {
		case <-changed:
		case <-time.After(wait):
			asked = time.Now()
		case <-ctx.Done():
			return feed.Update{}, ctx.Err()
		}
		if err := r.world.reach(ctx, r.self, feed.PlatformSource); err != nil {
			return feed.Update{}, err
		}
		p.mutex.Lock()
		u = p.update(after)
		p.mutex.Unlock()
	}
	u.ConfirmedAt, u.LastContact = asked, time.Now()
	return u, nil
}

// peer is another process as one process reaches it.
type peer struct {
	world    *world
	from, to hosts.Name
}

func (p *peer) Pull(ctx context.Context, after state.Revision, wait time.Duration) (feed.Update, error) {
	if err := p.world.reach(ctx, p.from, p.to); err != nil {
		return feed.Update{}, err
	}
	h := feed.NewServiceHandler(p.world.mirrors[p.to])
	asked := time.Now()
	reply, err := h.Pull(ctx, connect.NewRequest(&wire.PullRequest{After: uint64(after), Wait: wait.Milliseconds(), Proofs: true}))
	if err != nil {
		return feed.Update{}, err
	}
	return feed.DecodeUpdate(reply.Msg, asked), p.world.reach(ctx, p.from, p.to)
}

// world is a fleet of entries in three failure domains.
type world struct {
	platform platform
	entries  []hosts.Host
	mirrors  map[hosts.Name]*feed.Mirror

	mutex sync.Mutex
	// cut holds the processes that the platform can't be reached from, silently or
	// with a refusal.
	cut map[hosts.Name]bool
}

// silent is the share of cuts that swallow calls.
func (w *world) reach(ctx context.Context, from, to hosts.Name) error {
	w.mutex.Lock()
	refused, cut := w.cut[from]
	w.mutex.Unlock()
	if !cut || to != feed.PlatformSource {
		return nil
	}
	if refused {
		return errors.New("refused")
	}
	<-ctx.Done()
	return ctx.Err()
}

func newWorld(count int) *world {
	w := &world{mirrors: make(map[hosts.Name]*feed.Mirror), cut: make(map[hosts.Name]bool)}
	w.platform = platform{head: 1, version: 1, changed: make(chan struct{})}
	for i := range count {
		domain := hosts.Domain(fmt.Sprintf("d%d", i%3))
		h := hosts.Host{Name: hosts.Name(fmt.Sprintf("e%d", i)), Role: hosts.RoleEntry, Place: hosts.Place{Region: hosts.Region(domain), Domain: domain}}
		w.entries = append(w.entries, h)
		w.mirrors[h.Name] = feed.NewMirror()
	}
	return w
}

func (w *world) start() func() {
	var stops []func()
	for _, h := range w.entries {
		_, stop := feed.NewFollower(feed.FollowOptions{
			Identity: feed.Identity{Self: h.Name, Place: h.Place, Role: hosts.RoleEntry}, Mirror: w.mirrors[h.Name],
			Entries: func() []hosts.Host { return w.entries }, FallbackTimeout: feed.ContactTimeout, Log: zap.NewNop(),
			Source: func(name hosts.Name) (feed.Source, bool) {
				if name == feed.PlatformSource {
					return &reader{world: w, self: h.Name}, true
				}
				return &peer{world: w, from: h.Name, to: name}, true
			},
		})
		stops = append(stops, stop)
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// lag publishes a version and returns how long it takes until all entries that aren't
// cut off have it.
func (w *world) lag(version int) time.Duration {
	start := time.Now()
	w.platform.publish(version)
	for time.Since(start) < 20*time.Second {
		behind := false
		for _, h := range w.entries {
			if _, cut := w.cut[h.Name]; !cut && w.mirrors[h.Name].Snapshot().Release("m").Version < version {
				behind = true
			}
		}
		if !behind {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// TestChangeIsInForceWithinTwoSeconds cuts some entries off from the platform, silently
// or with refusals, leaders among them, and publishes changes at several times. With
// the age of the proof as the sign for a lost source the worst lag was over 3 s.
func TestChangeIsInForceWithinTwoSeconds(t *testing.T) {
	const bound = 2 * time.Second
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			w := newWorld(7)
			stop := w.start()
			defer stop()
			time.Sleep(3 * time.Second)
			for range 1 + r.IntN(4) {
				w.mutex.Lock()
				w.cut[w.entries[r.IntN(len(w.entries))].Name] = r.IntN(2) == 0
				w.mutex.Unlock()
			}
			for version := 2; version < 8; version++ {
				time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
				if lag := w.lag(version); lag > bound {
					t.Errorf("seed %d: version %d after %v with %v cut off", seed, version, lag, w.cut)
				}
			}
		})
	}
}

// TestAgeOfProofStaysBelowItsBound holds for every entry while the platform answers.
func TestAgeOfProofStaysBelowItsBound(t *testing.T) {
	const bound = 2*feed.LongPollTimeout + 300*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(7)
		stop := w.start()
		defer stop()
		time.Sleep(3 * time.Second)
		r := rand.New(rand.NewPCG(1, 1))
		for version := 2; version < 40; version++ {
			for range 20 {
				time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
				for _, h := range w.entries {
					if age, ok := w.mirrors[h.Name].Staleness(); !ok || age > bound {
						t.Fatalf("%s: age %v, proven %t", h.Name, age, ok)
					}
				}
			}
			w.platform.publish(version)
		}
	})
}

// TestFewReadThePlatform counts the reads of a calm fleet.
func TestFewReadThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(21)
		stop := w.start()
		defer stop()
		time.Sleep(5 * time.Second)
		before := w.platform.counted()
		const span = 60 * time.Second
		time.Sleep(span)
		// Three leaders, each with one read in every wait.
		most := 3 * int(span/feed.LongPollTimeout+1)
		if n := w.platform.counted() - before; n > most {
			t.Errorf("%d reads, at most %d are needed", n, most)
		}
	})
}

// TestCopyOfAStartedProcessIsProven proves that no process takes a copy for fresh that
// nobody has compared with the platform since.
func TestProofOfAPeerIsNoYoungerThanItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2)
		w.entries[1].Place = w.entries[0].Place
		stop := w.start()
		defer stop()
		time.Sleep(2 * time.Second)
		w.mutex.Lock()
		for _, h := range w.entries {
			w.cut[h.Name] = true
		}
		w.mutex.Unlock()
		cut := time.Now()
		time.Sleep(10 * time.Second)
		for _, h := range w.entries {
			if age, _ := w.mirrors[h.Name].Staleness(); age < time.Since(cut)-feed.LongPollTimeout {
				t.Errorf("%s: age %v though the platform is away for %v", h.Name, age, time.Since(cut))
			}
		}
	})
}
