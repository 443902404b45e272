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
		"start":              {known: 1, version: 2, neverConfirmed: true},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

// releaseCase is a release that a replica with another version gets from a source.
type releaseCase struct {
	known, version int
	neverConfirmed bool
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
