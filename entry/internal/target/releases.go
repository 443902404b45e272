package target

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/state"
)

// maxReleases bounds the remembered releases of a model. Beyond it, the versions before those
// that are remembered count as expired.
const maxReleases = 64

// release is a version and the earliest time at which it may have been released. The time is
// zero for the version that was current at the start of the process.
type release struct {
	version   int
	notBefore time.Time
}

// recordReleases records the releases of an engine's models that the snapshot adds, also those that
// were replaced before it was applied.
func (f *Fleet) recordReleases(now time.Time, s *state.Snapshot, e *state.Engine) {
	for _, m := range e.Models {
		current := s.Release(m.Name)
		known := f.releases[m.Name]
		if len(known) == 0 {
			// The time of this release is unknown. The zero time means that the versions
			// before it have already expired.
			f.releases[m.Name] = []release{{version: current.Version}}
			continue
		}
		added := current.Since(known[len(known)-1].version)
		for _, r := range added {
			f.options.Log.Info("release", zap.String("model", m.Name), zap.Int("version", r.Version), zap.Int("before", known[len(known)-1].version),
				zap.Duration("age", now.Sub(r.NotBefore)))
			known = append(f.relevantReleases(now, known), release{version: r.Version, notBefore: r.NotBefore})
		}
		f.releases[m.Name] = known
		if len(added) > 0 {
			f.boundStarts()
		}
	}
}

// relevantReleases returns the releases that bound the use of versions in the future, at most
// maxReleases - 1. Those before the first one bound it to a time that isn't later.
func (f *Fleet) relevantReleases(now time.Time, all []release) []release {
	for len(all) > 1 && now.Sub(all[1].notBefore) >= f.options.VersionTimeout {
		all = all[1:]
	}
	if len(all) < maxReleases {
		return all
	}
	dropped := len(all) - maxReleases + 1
	earliest := slices.MinFunc(all[:dropped+1], func(a, b release) int { return a.notBefore.Compare(b.notBefore) })
	all = slices.Clone(all[dropped:])
	all[0].notBefore = earliest.notBefore
	return all
}

// mayServe reports whether requests may still be sent to engines with the version. It turns
// false versionCutoffMargin before the version's deadline.
func (f *Fleet) mayServe(now time.Time, model string, version int) bool {
	end := f.cutoff(model, version)
	return end.IsZero() || now.Before(end)
}

// cutoff returns the time from which no requests may be sent to engines with the version, or zero if
// there is none.
func (f *Fleet) cutoff(model string, version int) time.Time {
	end := f.startDeadline(model, version)
	if end.IsZero() {
		return end
	}
	return end.Add(startDeadlineMargin - versionCutoffMargin)
}

// startDeadline returns the time after which no request may start on the version, or zero if
// there is none. It lies startDeadlineMargin before the time by which engines must serve the
// next released version.
func (f *Fleet) startDeadline(model string, version int) time.Time {
	if f.options.VersionTimeout == 0 {
		return time.Time{}
	}
	for _, r := range f.releases[model] {
		if r.version > version {
			return r.notBefore.Add(f.options.VersionTimeout - startDeadlineMargin)
		}
	}
	return time.Time{}
}

// newestVersion returns the last released version of a model, or zero.
func (f *Fleet) newestVersion(model string) int {
	if all := f.releases[model]; len(all) > 0 {
		return all[len(all)-1].version
	}
	return 0
}

// OnStartDeadline has a function called if a release sets a deadline to the start of the request after
// the choice. The function must not call the fleet. It isn't called after RecordFirstEvent or Finish.
func (r *InFlight) OnStartDeadline(notify func(end time.Time)) {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	if r.model == "" || !r.StartDeadline.IsZero() || r.hasFirstEvent || r.isFinished {
		return
	}
	r.notify = notify
	r.fleet.unbounded[r] = struct{}{}
	r.boundStart()
}

// boundStart sets the deadline to start if there is one. The caller holds the mutex.
func (r *InFlight) boundStart() {
	end := r.fleet.startDeadline(r.model, r.minVersion)
	if end.IsZero() {
		return
	}
	delete(r.fleet.unbounded, r)
	r.StartDeadline = end
	r.notify(end)
}

// boundStarts sets the deadlines of the requests that were sent before a release. The caller holds the
// mutex.
func (f *Fleet) boundStarts() {
	for r := range f.unbounded {
		r.boundStart()
	}
}
