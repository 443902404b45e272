// Package weights decides which version of a model is fetched when several were released
// in quick succession. It does no I/O.
package finish

import "time"

const (
	// finishShare is the part of a version from which on its fetch goes on though a newer
	// one was released: the rest takes less time than the newer one does.
	finishShare = 0.5
	// finishWithin bounds that, for a version whose rest doesn't come.
	finishWithin = 8 * time.Second
)

// Progress is how far the fetch of a version has come when a newer one is there.
type Progress struct {
	// Held and Total count pieces.
	Held  int
	Total int
	// Version is the one that is fetched, Newest the newest one.
	Version int
	Newest  int
	// SinceRelease is the time since the newest was released.
	SinceRelease time.Duration
}

// ShouldFinish reports whether the fetch goes on.
//
// It answers a release that comes while the one before it is on its way, with an origin
// that may fail at that time: engines must leave the version that they serve by a fixed
// time, and the one that is nearly there can be served before the newest has come. An
// origin has no more than the newest two versions.
func ShouldFinish(r Progress) bool {
	return r.Total > 0 && r.Newest == r.Version+1 && r.SinceRelease < finishWithin && float64(r.Held) >= finishShare*float64(r.Total)
}
