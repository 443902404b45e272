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

// TestUploadsYieldToLiveRequests counts the concurrent uploads with and without live
// requests.
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
				var releases []func()
				for {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					_, release, err := s.Chunk(ctx, digest)
					cancel()
					if err != nil {
						break
					}
					releases = append(releases, release)
				}
				if len(releases) != want {
					t.Errorf("live %t, round %d: %d concurrent uploads, want %d", live, round, len(releases), want)
				}
				for _, release := range releases {
					release()
				}
			}
		})
	}
}
