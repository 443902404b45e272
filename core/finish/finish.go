// Package finish decides whether the fetch of a version continues when a newer version of
// the model is released. It does no I/O.
package finish

import "time"

const (
	// finishRatio is the share of a version that must have been fetched for its fetch to
	// continue after a newer one is released: the rest takes less time than the newer
	// version.
	finishRatio = 0.5
	// finishTimeout limits the continuation, for a version whose remaining pieces don't
	// arrive.
	finishTimeout = 8 * time.Second
)

// Progress is the progress of the fetch of a version when a newer one has been released.
type Progress struct {
	// Held and Total count pieces.
	Held  int
	Total int
	// Version is the version being fetched, Newest the newest one.
	Version int
	Newest  int
	// SinceRelease is the time since the newest version was released.
	SinceRelease time.Duration
}

// ShouldFinish reports whether the fetch continues.
//
// It covers a release during the fetch of the previous version while the origin may fail:
// engines must stop serving their current version at a fixed time, and a version that is
// nearly complete can be served before the newest has arrived. An origin serves no more
// than the two newest versions.
func ShouldFinish(p Progress) bool {
	return p.Total > 0 && p.Newest == p.Version+1 && p.SinceRelease < finishTimeout && float64(p.Held) >= finishRatio*float64(p.Total)
}
