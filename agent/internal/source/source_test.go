package source_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"currantport.example/agent/internal/source"
	"currantport.example/core/chunks"
	"currantport.example/core/edges"
)

// supply answers with its faults, one a call, and then with its data.
type supply struct {
	data   string
	faults []error
	calls  []time.Time
}

func (s *supply) next() error {
	s.calls = append(s.calls, time.Now())
	if len(s.faults) == 0 {
		return nil
	}
	err := s.faults[0]
	s.faults = s.faults[1:]
	return err
}

func (s *supply) Manifest(context.Context, chunks.Digest) ([]byte, error) {
	if err := s.next(); err != nil {
		return nil, err
	}
	return []byte(s.data), nil
}

func (s *supply) Open(context.Context, chunks.Range) (io.ReadCloser, error) {
	if err := s.next(); err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader([]byte(s.data))), nil
}

// read retries as the fetcher does and returns the data of the first success.
func read(t *testing.T, s *source.Source, part chunks.Range) string {
	t.Helper()
	for range 20 {
		r, err := s.Open(t.Context(), part)
		if err != nil {
			continue
		}
		data, _ := io.ReadAll(r)
		return string(data)
	}
	t.Error("the part never came")
	return ""
}

func refusals(n int, wait time.Duration) []error {
	var all []error
	for range n {
		all = append(all, &edges.RefusedError{Status: 429, RetryAfter: wait})
	}
	return all
}

func TestChoiceOfSupply(t *testing.T) {
	lost := errors.New("connection lost")
	cases := []struct {
		name          string
		store, origin []error
		want          string
		within        time.Duration
	}{
		{name: "store holds it", want: "store", within: time.Second},
		{name: "store lacks it", store: []error{edges.ErrNotFound}, want: "origin", within: time.Second},
		{name: "store refuses for a while", store: refusals(2, time.Second), want: "store", within: 5 * time.Second},
		{name: "store keeps refusing", store: refusals(100, time.Second), want: "origin", within: 10 * time.Second},
		{name: "store asks for a long wait", store: refusals(100, time.Minute), want: "origin", within: time.Second},
		{name: "store is down", store: []error{lost}, want: "origin", within: time.Second},
		{name: "origin refuses too", store: []error{lost}, origin: refusals(1, time.Second), want: "origin", within: 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, origin := &supply{data: "store", faults: c.store}, &supply{data: "origin", faults: c.origin}
				start := time.Now()
				if got := read(t, source.New(store, origin, tally.NoopScope), chunks.Range{Path: "a"}); got != c.want {
					t.Errorf("the part came from the %s", got)
				}
				if took := time.Since(start); took > c.within {
					t.Errorf("the part came after %s", took)
				}
				for i := 1; i < len(store.calls); i++ {
					if gap := store.calls[i].Sub(store.calls[i-1]); gap < time.Second {
						t.Errorf("the store was asked again %s after it asked for a second", gap)
					}
				}
			})
		})
	}
}

func TestPartThatIsReadAgainComesFromTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := source.New(&supply{data: "corrupt"}, &supply{data: "sound"}, tally.NoopScope)
		part := chunks.Range{Path: "a", Offset: 5}
		if first, second := read(t, s, part), read(t, s, part); first != "corrupt" || second != "sound" {
			t.Errorf("read %q, then %q", first, second)
		}
		if first, _ := s.Manifest(t.Context(), chunks.Digest{1}); string(first) != "corrupt" {
			t.Errorf("read manifest %q first", first)
		}
		if second, _ := s.Manifest(t.Context(), chunks.Digest{1}); string(second) != "sound" {
			t.Errorf("read manifest %q again", second)
		}
		if store, origin := s.Bytes(); store != 14 || origin != 10 {
			t.Errorf("counted %d bytes of the store and %d of the origin", store, origin)
		}
	})
}
