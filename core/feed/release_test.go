package feed_test

import (
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/feed"
	"currantport.example/core/state"
	"currantport.example/core/wire"
)

// TestReleaseIsNotYoungerThanItsPublication applies a release to a replica that was last confirmed
// 5 s before, from a source that was last confirmed 1 s before it saw the release.
func TestReleaseIsNotYoungerThanItsPublication(t *testing.T) {
	for name, c := range map[string]releaseCase{
		"next version":       {known: 1, version: 2, want: time.Second},
		"version in between": {known: 1, version: 3, want: 5 * time.Second},
		"start":              {known: 1, version: 2, neverConfirmed: true, want: time.Second},
		"start, unconfirmed": {known: 1, version: 3, neverConfirmed: true, applied: true},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// releaseCase is a release that a replica with another version gets from a source.
type releaseCase struct {
	known, version int
	neverConfirmed bool
	// applied is set if the replica has the known version, although it was never confirmed.
	applied bool
	// want is the longest time for which the release may have been published, or zero if it
	// must be unknown.
	want time.Duration
}

func (c releaseCase) run(t *testing.T) {
	source, m := feed.NewMirror(), feed.NewMirror()
	confirm := func(m *feed.Mirror, head state.Revision, rows ...state.Row) {
		t.Helper()
		if _, err := m.Apply(feed.Update{Head: head, Rows: rows, ConfirmedAt: time.Now(), LastContact: time.Now()}); err != nil {
			t.Fatal(err)
		}
	}
	confirm(source, 1, at(1, release(c.known)))
	if !c.neverConfirmed {
		confirm(m, 1, at(1, release(c.known)))
	}
	if c.applied {
		if _, err := m.Apply(feed.Update{Head: 1, Rows: []state.Row{at(1, release(c.known))}}); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(4 * time.Second)
	confirm(source, 1)
	time.Sleep(time.Second)
	confirm(source, 2, at(2, release(c.version)))
	requestedAt := time.Now()
	reply, err := feed.NewServiceHandler(source).Pull(t.Context(), connect.NewRequest(&wire.PullRequest{After: uint64(m.Head())}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Apply(feed.DecodeUpdate(reply.Msg, requestedAt)); err != nil {
		t.Fatal(err)
	}
	r := m.Snapshot().Release("m")
	if r.Version != c.version || r.NotBefore.IsZero() != (c.want == 0) {
		t.Errorf("version %d, published after %v", r.Version, r.NotBefore)
	}
	if c.want > 0 && time.Since(r.NotBefore) != c.want {
		t.Errorf("published up to %v ago, want %v", time.Since(r.NotBefore), c.want)
	}
}

// relay applies what one process sends to another that is at an older revision.
func relay(t *testing.T, from, to *feed.Mirror) {
	t.Helper()
	requestedAt := time.Now()
	reply, err := feed.NewServiceHandler(from).Pull(t.Context(), connect.NewRequest(&wire.PullRequest{After: uint64(to.Head()), Retained: to.RetainedChecksum(nil)}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := to.Apply(feed.DecodeUpdate(reply.Msg, requestedAt)); err != nil {
		t.Fatal(err)
	}
}

// TestReleaseLostByTheStoreKeepsItsAge restores a copy from before a release that one process
// retains and another has never seen.
func TestReleaseLostByTheStoreKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, seen, unseen := newStore(release(2)), feed.NewMirror(), feed.NewMirror()
		s.read(t, seen)
		s.read(t, unseen)
		number, rows := s.number, s.copyRows()
		time.Sleep(5 * time.Second)
		s.read(t, seen)
		s.read(t, unseen)
		checkedAt := time.Now()
		time.Sleep(time.Second)
		s.write(release(3))
		publishedAt := time.Now()
		s.read(t, seen)
		s.restore(number, rows)
		s.read(t, seen)
		time.Sleep(time.Second)
		s.read(t, unseen)
		relay(t, seen, unseen)
		r := unseen.Snapshot().Release("m")
		if r.Version != 3 || r.NotBefore.Before(checkedAt) || r.NotBefore.After(publishedAt) {
			t.Errorf("version %d, published after %v, want from %v to %v", r.Version, r.NotBefore, checkedAt, publishedAt)
		}
	})
}

// TestReleaseWrittenAgainKeepsItsAge has a store lose a release that is written again later, while
// a process was out of touch all the time.
func TestReleaseWrittenAgainKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, seen, away := newStore(release(2)), feed.NewMirror(), feed.NewMirror()
		s.read(t, seen)
		s.read(t, away)
		number, rows := s.number, s.copyRows()
		s.write(release(3))
		publishedAt := time.Now()
		s.read(t, seen)
		s.restore(number, rows)
		s.read(t, seen)
		time.Sleep(5 * time.Second)
		s.read(t, seen)
		s.write(release(3))
		s.read(t, seen)
		relay(t, seen, away)
		if r := away.Snapshot().Release("m"); r.Version != 3 || r.NotBefore.After(publishedAt) {
			t.Errorf("version %d counts as published %v after it was", r.Version, r.NotBefore.Sub(publishedAt))
		}
	})
}
