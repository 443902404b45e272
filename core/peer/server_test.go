package peer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/peer"
)

// TestUploadsYieldToLiveRequests counts the chunks that are sent at once.
func TestUploadsYieldToLiveRequests(t *testing.T) {
	for live, want := range map[bool]int{false: 3, true: 2} {
		synctest.Test(t, func(t *testing.T) {
			c := cache.New()
			digest := chunks.Sum([]byte("a"))
			if err := c.Add(digest, []byte("a")); err != nil {
				t.Fatal(err)
			}
			s, stop := peer.NewServer(c, func() bool { return live })
			defer stop()
			for round := range 2 {
				var free []func()
				for {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					_, release, err := s.Chunk(ctx, digest)
					cancel()
					if err != nil {
						break
					}
					free = append(free, release)
				}
				if len(free) != want {
					t.Errorf("live %t, round %d: %d chunks are sent at once, want %d", live, round, len(free), want)
				}
				for _, release := range free {
					release()
				}
			}
		})
	}
}
