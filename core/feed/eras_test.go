package feed_test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"currantport.example/core/feed"
	"currantport.example/core/state"
)

const (
	// reregisterLimit is the time after a restore by which upstreams that the store lacks must
	// be gone, and reregisterMinimum that for which live ones must stay in use.
	reregisterLimit   = 4 * time.Second
	reregisterMinimum = 2 * time.Second
	// heartbeatTimeout is the time after which a store drops a silent upstream.
	heartbeatTimeout = 3600 * time.Millisecond
)

var firstStart = time.UnixMilli(1_700_000_000_000)

func encoded(r state.Row, err error) state.Row {
	if err != nil {
		panic(err)
	}
	return r
}

// configOf returns a configuration with one workspace that has the given keys.
func configOf(version int64, keys ...string) []state.Row {
	w := &state.Workspace{Name: "meadow", Keys: keys}
	r := &state.Route{Name: fmt.Sprint("route-", version), Prefix: "/", Targets: []state.Target{{Pool: "p", Weight: 1}}, MaxAttempts: 1}
	return []state.Row{
		encoded(state.EncodeConfig(state.Config{Version: version})), encoded(state.EncodeWorkspace(w)), encoded(state.EncodeRoute(r)),
		encoded(state.EncodePool(&state.Pool{Name: "p"})),
	}
}

func upstreamRow(id string, started time.Time, draining bool) state.Row {
	return encoded(state.EncodeUpstream(&state.Upstream{
		ID: id, Pool: "p", Address: netip.MustParseAddrPort("10.0.0.1:80"), Started: started, Draining: draining,
	}))
}

// store is a platform's store that is read whole.
type store struct {
	era, number uint64
	rows        map[string]state.Row
}

func newStore(rows ...state.Row) *store {
	s := &store{era: 1, rows: make(map[string]state.Row)}
	s.write(rows...)
	return s
}

// write replaces the rows with the same keys. For a configuration, it drops the earlier one.
func (s *store) write(rows ...state.Row) {
	s.number++
	if slices.ContainsFunc(rows, func(r state.Row) bool { return r.Key == state.ConfigKey }) {
		for key := range s.rows {
			if state.IsConfig(key) {
				delete(s.rows, key)
			}
		}
	}
	for _, r := range rows {
		if r.Value == nil {
			delete(s.rows, r.Key)
			continue
		}
		s.rows[r.Key] = r
	}
}

// restore begins an era with the rows of a copy.
func (s *store) restore(number uint64, rows map[string]state.Row) {
	s.era++
	s.number = number
	s.rows = make(map[string]state.Row, len(rows))
	for key, r := range rows {
		s.rows[key] = r
	}
}

func (s *store) copyRows() map[string]state.Row {
	all := make(map[string]state.Row, len(s.rows))
	for key, r := range s.rows {
		all[key] = r
	}
	return all
}

func revision(t interface{ Fatal(...any) }, era, number uint64) state.Revision {
	r, err := state.NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func (s *store) update(t interface{ Fatal(...any) }) feed.Update {
	now := time.Now()
	u := feed.Update{Head: revision(t, s.era, s.number), Full: true, ConfirmedAt: now, LastContact: now}
	for _, r := range s.rows {
		r.Revision = u.Head
		u.Rows = append(u.Rows, r)
	}
	return u
}

func (s *store) read(t interface{ Fatal(...any) }, m *feed.Mirror) {
	if _, err := m.Apply(s.update(t)); err != nil {
		t.Fatal(err)
	}
}

func TestRevisionsOfLaterErasAreLater(t *testing.T) {
	old, restored := revision(t, 1, 5_000_000), revision(t, 2, 7)
	if restored <= old || restored.Era() != 2 || restored.Number() != 7 {
		t.Errorf("%d of era %d isn't later than %d", restored.Number(), restored.Era(), old)
	}
	for _, c := range []struct{ era, number uint64 }{{1 << 16, 1}, {1, 1 << 48}} {
		if _, err := state.NewRevision(c.era, c.number); err == nil {
			t.Errorf("era %d, number %d: no error", c.era, c.number)
		}
	}
}

// TestRestoredStoreTakesNothingBack restores a copy from before a configuration, a release and a
// report that an upstream drains. All stay active until they are written again.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	s := newStore(append(configOf(3, "revoked", "kept"), release(2), upstreamRow("u", firstStart, false))...)
	m := feed.NewMirror()
	s.read(t, m)
	number, rows := s.number, s.copyRows()
	s.write(configOf(7, "kept")...)
	s.write(release(3), upstreamRow("u", firstStart, true))
	s.read(t, m)
	s.restore(number, rows)
	expect := func(what string, config int64, version int, draining bool) {
		t.Helper()
		v := m.Snapshot()
		if v.Config != config || v.Workspace("revoked") != nil || v.Workspace("kept") == nil || v.Match("", "/") == nil || v.Match("", "/").Name != fmt.Sprint("route-", config) {
			t.Errorf("%s: configuration %d, want %d, with its keys and routes", what, v.Config, config)
		}
		if v.Release("m").Version != version || v.Upstreams("p")[0].Draining != draining {
			t.Errorf("%s: version %d, draining %v", what, v.Release("m").Version, v.Upstreams("p")[0].Draining)
		}
	}
	s.read(t, m)
	expect("restored", 7, 3, true)
	s.write(release(3))
	s.read(t, m)
	expect("release written again", 7, 3, true)
	s.write(configOf(7, "kept")...)
	s.write(upstreamRow("u", firstStart.Add(time.Second), false))
	s.read(t, m)
	expect("all written again, the upstream restarted", 7, 3, false)
	s.write(configOf(9, "kept")...)
	s.write(release(4))
	s.read(t, m)
	expect("the next of each", 9, 4, false)
	if u, _ := m.UpdateSince(0, nil); len(u.Retained) > 0 {
		t.Errorf("%d rows are retained", len(u.Retained))
	}
}

// TestRetainedRowsReachOthers checks a process that starts after a restore: it must not serve by
// the restored configuration while another one knows a later one, and follow its end.
func TestRetainedRowsReachOthers(t *testing.T) {
	s := newStore(append(configOf(3, "revoked"), release(2))...)
	number, rows := s.number, s.copyRows()
	s.write(append(configOf(7), release(3))...)
	old, started := feed.NewMirror(), feed.NewMirror()
	s.read(t, old)
	s.restore(number, rows)
	s.read(t, old)
	s.read(t, started)
	u, _ := old.UpdateSince(started.Head(), nil)
	if _, err := started.Apply(u); err != nil {
		t.Fatal(err)
	}
	if v := started.Snapshot(); v.Config != 7 || v.Release("m").Version != 3 || v.Workspace("revoked") != nil {
		t.Errorf("configuration %d, version %d", v.Config, v.Release("m").Version)
	}
	if old.RetainedChecksum(nil) != started.RetainedChecksum(nil) {
		t.Error("the processes retain different rows")
	}
	s.write(append(configOf(8, "other"), release(3))...)
	s.read(t, started)
	if v := started.Snapshot(); v.Config != 8 || v.Workspace("other") == nil || started.RetainedChecksum(nil) != 0 {
		t.Errorf("after the next configuration: %d, checksum %x", v.Config, started.RetainedChecksum(nil))
	}
}

// TestLostRegistrations covers an upstream that the restored copy lacks: it stays in use for as
// long as live ones take to register again, and is gone then.
func TestLostRegistrations(t *testing.T) {
	for _, returns := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s, m := newStore(upstreamRow("old", firstStart, false)), feed.NewMirror()
			s.write(upstreamRow("new", firstStart, false))
			s.read(t, m)
			s.restore(1, map[string]state.Row{"upstream/p/old": upstreamRow("old", firstStart, false)})
			s.read(t, m)
			time.Sleep(reregisterMinimum)
			s.read(t, m)
			if n := len(m.Snapshot().Upstreams("p")); n != 2 {
				t.Fatalf("%d upstreams are in use right after the restore, want 2", n)
			}
			want := 1
			if returns {
				want = 2
				s.write(upstreamRow("new", firstStart, false))
			}
			s.read(t, m)
			time.Sleep(reregisterLimit - reregisterMinimum)
			s.read(t, m)
			if n := len(m.Snapshot().Upstreams("p")); n != want {
				t.Errorf("registered again %v: %d upstreams, want %d", returns, n, want)
			}
		})
	}
}

// TestDepartedUpstreamStaysUnused covers an upstream that was removed and that the restored copy
// lists again. If it had only lapsed it is used again, but no sooner than a dead one is dropped.
func TestDepartedUpstreamStaysUnused(t *testing.T) {
	u := upstreamRow("u", firstStart, false)
	s, m := newStore(u), feed.NewMirror()
	s.read(t, m)
	s.write(state.Row{Key: u.Key})
	s.read(t, m)
	s.restore(1, map[string]state.Row{u.Key: u})
	s.read(t, m)
	s.write(upstreamRow("u", firstStart.Add(time.Second), false))
	s.read(t, m)
	if n := len(m.Snapshot().Upstreams("p")); n != 1 {
		t.Errorf("an upstream that started again after the restore isn't used")
	}
	synctest.Test(t, func(t *testing.T) {
		u := upstreamRow("u", firstStart, false)
		s, m := newStore(u), feed.NewMirror()
		s.read(t, m)
		s.write(state.Row{Key: u.Key})
		s.read(t, m)
		s.restore(1, map[string]state.Row{u.Key: u})
		s.read(t, m)
		time.Sleep(heartbeatTimeout)
		s.read(t, m)
		if n := len(m.Snapshot().Upstreams("p")); n != 0 {
			t.Errorf("an upstream that has left is used again")
		}
		time.Sleep(heartbeatTimeout)
		s.read(t, m)
		if n := len(m.Snapshot().Upstreams("p")); n != 1 {
			t.Errorf("an upstream that is still listed isn't used")
		}
		s.write(upstreamRow("u", firstStart.Add(time.Second), false))
		s.read(t, m)
		if n := len(m.Snapshot().Upstreams("p")); n != 1 {
			t.Errorf("an upstream that started again isn't used")
		}
	})
}

// TestDepartureIsKnownAfterManyOthers removes an upstream among as many as a fleet has, before the
// restored copy lists it again.
func TestDepartureIsKnownAfterManyOthers(t *testing.T) {
	const fleet = 12000
	for _, last := range []int{0, 4000, 4100, fleet} {
		u := upstreamRow("u", firstStart, false)
		s, m := newStore(u), feed.NewMirror()
		for i := range fleet {
			s.write(upstreamRow(fmt.Sprint("o", i), firstStart, false))
		}
		s.read(t, m)
		remove := func(from, to int) {
			for i := from; i < to; i++ {
				s.write(state.Row{Key: upstreamRow(fmt.Sprint("o", i), firstStart, false).Key})
			}
			s.read(t, m)
		}
		remove(0, last)
		s.write(state.Row{Key: u.Key})
		s.read(t, m)
		remove(last, fleet)
		s.restore(1, map[string]state.Row{u.Key: u})
		s.read(t, m)
		if n := len(m.Snapshot().Upstreams("p")); n != 0 {
			t.Errorf("%d upstreams left before and %d after it: it is used again", last, fleet-last)
		}
	}
}

// TestEraNeedsAllRows checks that a replica doesn't enter an era by a delta, isn't confirmed in it
// before it has all rows, and doesn't return to the era before.
func TestEraNeedsAllRows(t *testing.T) {
	s, m := newStore(release(2)), feed.NewMirror()
	s.read(t, m)
	before := s.update(t)
	now := time.Now()
	delta := feed.Update{Head: revision(t, 2, 9), Rows: []state.Row{release(5)}, ConfirmedAt: now, LastContact: now}
	if _, err := m.Apply(delta); !errors.Is(err, feed.ErrDiverged) || m.Head().Era() != 1 {
		t.Errorf("a delta of another era: %v, now in era %d", err, m.Head().Era())
	}
	s.restore(1, nil)
	u := s.update(t)
	u.Checksum, u.HasChecksum = 1, true
	if _, err := m.Apply(u); !errors.Is(err, feed.ErrDiverged) {
		t.Errorf("a wrong checksum: %v", err)
	}
	if _, confirmed := m.Staleness(); confirmed {
		t.Error("confirmed although rows are missing")
	}
	if _, err := m.Apply(before); err != nil || m.Head().Era() != 2 {
		t.Errorf("returned to era %d, %v", m.Head().Era(), err)
	}
	s.read(t, m)
	if _, confirmed := m.Staleness(); !confirmed {
		t.Error("not confirmed with all rows")
	}
	other := feed.NewMirror()
	s.read(t, other)
	if u, ok := other.UpdateSince(before.Head, nil); !ok || !u.Full {
		t.Errorf("a process of the last era gets a delta: full %v, %v", u.Full, ok)
	}
}

// TestNothingGoesBackOverRestores plays writes, restores and pulls between two processes in any
// order. At each process neither versions nor the draining of one process go back, and both
// reach the store's state in the end.
func TestNothingGoesBackOverRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{
			store: newStore(append(configOf(1), release(1), upstreamRow("u", firstStart, false))...), config: 1, version: 1, started: firstStart,
			mirrors: []*feed.Mirror{feed.NewMirror(), feed.NewMirror()},
		}
		h.copied, h.number = h.store.copyRows(), h.store.number
		last := make([]observed, len(h.mirrors))
		for range 40 {
			i := rapid.IntRange(0, 1).Draw(t, "process")
			if rapid.Bool().Draw(t, "write") {
				h.change(rapid.IntRange(0, 5).Draw(t, "change"))
			} else {
				h.pull(t, i, rapid.Bool().Draw(t, "store"))
			}
			last[i].check(t, h.mirrors[i])
		}
		h.store.write(append(configOf(h.config), release(h.version), upstreamRow("u", h.started, h.draining))...)
		for i, m := range h.mirrors {
			h.store.read(t, m)
			last[i].check(t, m)
			if v := m.Snapshot(); v.Config != h.config || v.Release("m").Version != h.version || m.RetainedChecksum(nil) != 0 {
				t.Fatalf("process %d ends at configuration %d of %d, version %d of %d", i, v.Config, h.config, v.Release("m").Version, h.version)
			}
		}
	})
}

// history is a store with its writers and the replicas of some processes.
type history struct {
	store   *store
	mirrors []*feed.Mirror
	// config, version, started and draining are what was written last.
	config   int64
	version  int
	started  time.Time
	draining bool
	// copied and number are the copy that a restore returns to.
	copied map[string]state.Row
	number uint64
}

// change writes to the store, copies it or restores it.
func (h *history) change(kind int) {
	switch kind {
	case 0:
		h.config++
		h.store.write(configOf(h.config)...)
	case 1:
		h.version++
		h.store.write(release(h.version))
	case 2:
		h.draining = true
		h.store.write(upstreamRow("u", h.started, h.draining))
	case 3:
		h.started, h.draining = h.started.Add(time.Second), false
		h.store.write(upstreamRow("u", h.started, h.draining))
	case 4:
		h.copied, h.number = h.store.copyRows(), h.store.number
	case 5:
		h.store.restore(h.number, h.copied)
	}
}

// pull updates a replica from the store or from the other one.
func (h *history) pull(t *rapid.T, i int, fromStore bool) {
	if fromStore {
		h.store.read(t, h.mirrors[i])
		return
	}
	source := h.mirrors[1-i]
	u, ok := source.UpdateSince(h.mirrors[i].Head(), nil)
	if !ok {
		return
	}
	if _, err := h.mirrors[i].Apply(u); err == nil {
		return
	}
	u, _ = source.UpdateSince(0, nil)
	if _, err := h.mirrors[i].Apply(u); err != nil {
		t.Fatal(err)
	}
}

// observed is the latest state that a process was seen to act by.
type observed struct {
	config   int64
	version  int
	started  time.Time
	draining bool
}

func (o *observed) check(t *rapid.T, m *feed.Mirror) {
	v := m.Snapshot()
	if v.Config < o.config || v.Release("m").Version < o.version {
		t.Fatalf("configuration %d after %d, version %d after %d", v.Config, o.config, v.Release("m").Version, o.version)
	}
	o.config, o.version = v.Config, v.Release("m").Version
	for _, u := range v.Upstreams("p") {
		if u.Started.Equal(o.started) && o.draining && !u.Draining {
			t.Fatal("an upstream drains no more")
		}
		o.started, o.draining = u.Started, u.Draining
	}
}
