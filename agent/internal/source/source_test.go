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

// fakeBackend fails one call with each of its failures, and then returns its data.
type fakeBackend struct {
	data     string
	failures []error
	calls    []time.Time
}

func (b *fakeBackend) nextFailure() error {
	b.calls = append(b.calls, time.Now())
	if len(b.failures) == 0 {
		return nil
	}
	err := b.failures[0]
	b.failures = b.failures[1:]
	return err
}

func (b *fakeBackend) Manifest(context.Context, chunks.Digest) ([]byte, error) {
	if err := b.nextFailure(); err != nil {
		return nil, err
	}
	return []byte(b.data), nil
}

func (b *fakeBackend) Open(context.Context, chunks.Range) (io.ReadCloser, error) {
	if err := b.nextFailure(); err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader([]byte(b.data))), nil
}

// read retries like the fetcher, and returns the data of the first success.
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
	t.Error("the part was never read")
	return ""
}

func repeatedRefusals(n int, wait time.Duration) []error {
	var all []error
	for range n {
		all = append(all, &edges.RefusedError{Status: 429, RetryAfter: wait})
	}
	return all
}

func TestChoiceOfBackend(t *testing.T) {
	lost := errors.New("connection lost")
	cases := []struct {
		name          string
		store, origin []error
		want          string
		within        time.Duration
	}{
		{name: "store holds it", want: "store", within: time.Second},
		{name: "store lacks it", store: []error{edges.ErrNotFound}, want: "origin", within: time.Second},
		{name: "store refuses for a while", store: repeatedRefusals(2, time.Second), want: "store", within: 5 * time.Second},
		{name: "store keeps refusing", store: repeatedRefusals(100, time.Second), want: "origin", within: 10 * time.Second},
		{name: "store asks for a long wait", store: repeatedRefusals(100, time.Minute), want: "origin", within: time.Second},
		{name: "store is down", store: []error{lost}, want: "origin", within: time.Second},
		{name: "origin refuses too", store: []error{lost}, origin: repeatedRefusals(1, time.Second), want: "origin", within: 3 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, origin := &fakeBackend{data: "store", failures: c.store}, &fakeBackend{data: "origin", failures: c.origin}
				start := time.Now()
				if got := read(t, source.New(store, origin, tally.NoopScope), chunks.Range{Path: "a"}); got != c.want {
					t.Errorf("the part came from the %s", got)
				}
				if took := time.Since(start); took > c.within {
					t.Errorf("the part was read after %s", took)
				}
				for i := 1; i < len(store.calls); i++ {
					if gap := store.calls[i].Sub(store.calls[i-1]); gap < time.Second {
						t.Errorf("the store got another request %s after it asked for a delay of a second", gap)
					}
				}
			})
		})
	}
}

func TestRepeatedReadUsesOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := source.New(&fakeBackend{data: "corrupt"}, &fakeBackend{data: "sound"}, tally.NoopScope)
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
