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
	// servedRatio is the share of the timeout for which engines get requests for a replaced
	// version. For a timeout of 9.7 s it gives the deadline of the loader's roll-out slots.
	servedRatio = 0.8
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
	// Timeout is the time after its release within which the newest version must be served, or
	// zero if there is no limit. LoadTime is how long an engine takes to load a version, or zero
	// if that isn't known.
	Timeout  time.Duration
	LoadTime time.Duration
}

// ShouldFinish reports whether the fetch continues.
//
// It covers a release during the fetch of the previous version while the origin may fail:
// engines must stop serving their current version at a fixed time, and a version that is
// nearly complete can be served before the newest has arrived. An origin serves no more
// than the two newest versions.
//
// The version must be complete early enough for an engine to serve with it for longer than loading
// it takes. Otherwise its pieces delay those of the newest one when the origin returns.
func ShouldFinish(p Progress) bool {
	if p.Timeout > 0 && p.SinceRelease+2*p.LoadTime >= time.Duration(float64(p.Timeout)*servedRatio) {
		return false
	}
	return p.Total > 0 && p.Newest == p.Version+1 && p.SinceRelease < finishTimeout && float64(p.Held) >= finishRatio*float64(p.Total)
}
