package target

import (
	"time"

	"go.uber.org/zap"

	"currantport.example/core/state"
)

// observedVersions are the versions of one model that an engine's responses have confirmed
// or ruled out.
type observedVersions struct {
	// served is the version of the newest response, or zero. The engine served it at some time
	// from servedSince, when the request was sent, to servedAt.
	served      int
	servedSince time.Time
	servedAt    time.Time
	// rejected is the newest version for which it declined a request because it serves
	// another one; rejectedAt is the time of the last such response.
	rejected   int
	rejectedAt time.Time
}

// record records the version of a response to a request that was sent at the given time. Of two
// responses that overtook each other, the older version counts, since it has to be left earlier.
func (o *observedVersions) record(now, sentAt time.Time, version int) {
	if version == 0 {
		return
	}
	if sentAt.Before(o.servedSince) {
		o.served = min(o.served, version)
	} else {
		o.served, o.servedSince = version, sentAt
	}
	o.servedAt = now
	if version <= o.rejected && sentAt.After(o.rejectedAt) {
		o.rejected = 0
	}
}

// statedVersion is the version of a model by the load reports of an engine, or by its row.
type statedVersion struct {
	version int
	// since is when it was first received, receivedAt when it was last.
	since      time.Time
	receivedAt time.Time
}

// isAfter reports whether the engine served the version at a later time than the given one.
func (s statedVersion) isAfter(t time.Time) bool {
	return s.since.After(t) || s.receivedAt.Add(-maxReportAge).After(t)
}

// newest returns the version that was observed last, or the older one where that is undecided.
func (o *observedVersions) newest(s statedVersion) int {
	switch {
	case o.served == 0 || s.isAfter(o.servedAt):
		return s.version
	case s.receivedAt.Before(o.servedSince):
		return o.served
	}
	return min(s.version, o.served)
}

// servedVersion returns the version of a model that the upstream serves, or zero if it
// serves none. It returns unknownVersion if it has declined a request for the version that it was
// last observed to serve, and so serves a later one.
func (u *upstream) servedVersion(now time.Time, model string) int {
	held, stated := u.row.Held, statedVersion{since: u.rowHeldSince, receivedAt: u.rowHeldSince}
	if u.hasReport(now) {
		held, stated = u.report.Held, statedVersion{since: u.reportHeldSince, receivedAt: u.reportedAt}
	}
	observed := u.observed[model]
	for _, h := range held {
		if h.Model != model || !h.Whole {
			continue
		}
		stated.version = h.Version
		v := observed.newest(stated)
		switch {
		case v > observed.rejected || stated.isAfter(observed.rejectedAt):
			return v
		case now.Sub(observed.rejectedAt) < mismatchBackoff:
			return 0
		case v < observed.rejected:
			// The engine may have gone back.
			return v
		}
		return unknownVersion
	}
	return 0
}

// versionFor returns the version that would serve the request at an engine, or zero if it is
// unknown, and the lowest that it can be. It returns false if that may not serve it.
func (f *Fleet) versionFor(now time.Time, u *upstream, reqs Requirements) (version, minVersion int, ok bool) {
	version = u.servedVersion(now, reqs.Model)
	if version == 0 || reqs.Version != 0 && version != reqs.Version {
		return 0, 0, false
	}
	minVersion = version
	if version == unknownVersion {
		version, minVersion = 0, u.observed[reqs.Model].rejected+1
	}
	return version, minVersion, f.mayServe(now, reqs.Model, minVersion)
}

// RecordVersion records the version in the upstream's response. Zero means unknown.
func (r *InFlight) RecordVersion(now time.Time, version int) {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	r.Served = version
	v := r.upstream.observed[r.model]
	r.fleet.logOlderVersion(now, r.upstream, "response", max(v.served, r.Version), version)
	v.record(now, r.startedAt, version)
	r.upstream.observed[r.model] = v
}

// logOlderVersion logs that an engine was shown to serve an older version than before. Zero means
// none.
func (f *Fleet) logOlderVersion(now time.Time, u *upstream, source string, before, version int) {
	if version == 0 || version >= before || now.Sub(u.versionLoggedAt) < versionLogInterval {
		return
	}
	u.versionLoggedAt = now
	f.options.Log.Warn("engine-version-older", zap.String("upstream", u.row.ID), zap.String("source", source), zap.Int("version", version), zap.Int("before", before))
}

// versionOf returns the held version of a model, or zero.
func versionOf(held []state.HeldVersion, model string) int {
	for _, h := range held {
		if h.Model == model {
			return h.Version
		}
	}
	return 0
}
