package target

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// Exclusion is the reason why an upstream may not take a request.
type Exclusion string

// The exclusions, in the order in which they are checked.
const (
	// ExclusionNone means that the upstream may take the request if it has room.
	ExclusionNone Exclusion = ""
	// ExclusionHome is an upstream outside the home regions of the request.
	ExclusionHome Exclusion = "home"
	// ExclusionEvacuated is an upstream of an evacuated failure domain.
	ExclusionEvacuated Exclusion = "evacuated"
	// ExclusionDraining is an upstream that is shutting down, by its row or its own statement.
	ExclusionDraining Exclusion = "draining"
	// ExclusionHeld is one that has asked for a pause.
	ExclusionHeld Exclusion = "held"
	// ExclusionTried is one to which the request was already sent.
	ExclusionTried Exclusion = "tried"
	// ExclusionDown is one that accepts no connections.
	ExclusionDown Exclusion = "down"
	// ExclusionClosed is an engine that is about to load another version, or was when its agent fell silent.
	ExclusionClosed Exclusion = "closed"
	// ExclusionVersion is an engine without a version that may serve the request.
	ExclusionVersion Exclusion = "version"
	// ExclusionLimit is an upstream whose limit of requests per second is spent.
	ExclusionLimit Exclusion = "limit"
	// ExclusionUnassigned is an engine of another region that isn't assigned to this entry, while
	// others can be used.
	ExclusionUnassigned Exclusion = "unassigned"
)

// exclusion returns why the engine may not take the request. If it may, it also returns the version
// that would serve the request, or zero if that is unknown, and the lowest that it can be.
func (f *Fleet) exclusion(now time.Time, u *upstream, reqs Requirements) (version, minVersion int, reason Exclusion) {
	version, minVersion, reason = f.standingExclusion(now, u, reqs)
	if reason == ExclusionNone && !u.demands.limit.allows(f, now) {
		reason = ExclusionLimit
	}
	return version, minVersion, reason
}

// standingExclusion is exclusion without the limit of requests per second, which soon allows others.
func (f *Fleet) standingExclusion(now time.Time, u *upstream, reqs Requirements) (version, minVersion int, reason Exclusion) {
	if reason = f.boundExclusion(u, reqs); reason != ExclusionNone {
		return 0, 0, reason
	}
	return f.engineExclusion(now, u, reqs)
}

// engineExclusion is standingExclusion without the bounds on failure domains.
func (f *Fleet) engineExclusion(now time.Time, u *upstream, reqs Requirements) (version, minVersion int, reason Exclusion) {
	reason = u.demandExclusion(now, reqs)
	switch {
	case reason != ExclusionNone:
		return 0, 0, reason
	case u.health.IsDown(now):
		return 0, 0, ExclusionDown
	case u.demands.isClosed(now):
		return 0, 0, ExclusionClosed
	}
	version, minVersion, ok := f.versionFor(now, u, reqs)
	if !ok {
		return 0, 0, ExclusionVersion
	}
	return version, minVersion, ExclusionNone
}

// plainExclusion returns why the upstream of a plain service may not take the request. One that
// accepts no connections may, if there is no other.
func (f *Fleet) plainExclusion(now time.Time, u *upstream, reqs Requirements) Exclusion {
	if reason := f.commonExclusion(now, u, reqs); reason != ExclusionNone {
		return reason
	}
	if !u.demands.limit.allows(f, now) {
		return ExclusionLimit
	}
	return ExclusionNone
}

// commonExclusion returns the reasons that hold for engines and plain services alike.
func (f *Fleet) commonExclusion(now time.Time, u *upstream, reqs Requirements) Exclusion {
	if reason := f.boundExclusion(u, reqs); reason != ExclusionNone {
		return reason
	}
	return u.demandExclusion(now, reqs)
}

// boundExclusion returns the bound that keeps the request from the upstream's failure domain.
func (f *Fleet) boundExclusion(u *upstream, reqs Requirements) Exclusion {
	domain := hosts.Domain(u.row.Domain)
	switch {
	case !reqs.Homes.Allows(f.options.Regions[domain]):
		return ExclusionHome
	case f.evacuated[domain]:
		return ExclusionEvacuated
	}
	return ExclusionNone
}

// demandExclusion returns the exclusion that the upstream itself has asked for, or ExclusionTried.
func (u *upstream) demandExclusion(now time.Time, reqs Requirements) Exclusion {
	switch {
	case u.row.Draining || u.demands.leaving:
		return ExclusionDraining
	case u.demands.isHeld(now):
		return ExclusionHeld
	case slices.Contains(reqs.Exclude, u.row.ID):
		return ExclusionTried
	}
	return ExclusionNone
}

// isOffered reports whether the upstream wants requests from this entry: it doesn't leave, and
// hasn't asked for a pause.
func (u *upstream) isOffered(now time.Time) bool {
	return !u.row.Draining && !u.demands.leaving && !u.demands.isHeld(now)
}

// SoleExclusion returns the home or evacuation bound that alone keeps a request from upstreams which
// could serve it otherwise, or that no upstream meets. It returns ExclusionNone if there is another
// reason, also if the request was sent to an upstream within the bounds. Call it for a request for which
// there is no upstream.
func (f *Fleet) SoleExclusion(now time.Time, reqs Requirements) Exclusion {
	if reqs.Homes.IsNowhere() {
		return ExclusionHome
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	// Sole is the bound of an upstream that could serve the request otherwise, anyBound that of any.
	sole, anyBound, isMet := ExclusionNone, ExclusionNone, false
	for _, u := range f.pools[reqs.Pool.Name] {
		bound := f.boundExclusion(u, reqs)
		other := u.demandExclusion(now, reqs)
		if reqs.Pool.Engine != nil {
			_, _, other = f.engineExclusion(now, u, reqs)
		}
		switch {
		case bound == ExclusionNone && other == ExclusionTried:
			return ExclusionNone
		case bound == ExclusionNone:
			isMet = true
		case other == ExclusionNone:
			sole = reportedBound(sole, bound)
		default:
			anyBound = reportedBound(anyBound, bound)
		}
	}
	if sole == ExclusionNone && !isMet {
		return anyBound
	}
	return sole
}

// reportedBound returns which of two bounds to report. An evacuation has precedence, because it ends,
// and because it is the reason if the home regions are evacuated.
func reportedBound(a, b Exclusion) Exclusion {
	if a == ExclusionEvacuated {
		return a
	}
	return b
}

// DomainExclusion is a reason why upstreams of a failure domain may not take a request.
type DomainExclusion struct {
	Domain hosts.Domain
	Reason Exclusion
}

// Exclusions returns why upstreams of the request's pool may not take it, each reason once for each
// failure domain.
func (f *Fleet) Exclusions(now time.Time, reqs Requirements) []DomainExclusion {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var all []DomainExclusion
	for _, u := range f.pools[reqs.Pool.Name] {
		e := DomainExclusion{Domain: hosts.Domain(u.row.Domain), Reason: f.anyExclusion(now, u, reqs)}
		if e.Reason != ExclusionNone && !slices.Contains(all, e) {
			all = append(all, e)
		}
	}
	return all
}

// anyExclusion is exclusion or plainExclusion, depending on the pool.
func (f *Fleet) anyExclusion(now time.Time, u *upstream, reqs Requirements) Exclusion {
	if reqs.Pool.Engine == nil {
		return f.plainExclusion(now, u, reqs)
	}
	_, _, reason := f.exclusion(now, u, reqs)
	return reason
}
