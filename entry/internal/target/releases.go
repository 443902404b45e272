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
			f.releases[m.Name] = firstReleases(current)
			f.options.Log.Info("release-at-start", zap.String("model", m.Name), zap.Int("version", current.Version), zap.Bool("aged", !current.NotBefore.IsZero()))
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

// firstReleases returns the releases of a model when it is first seen, after one of unknown time for the
// version before them. The zero time means that still older versions have already expired.
func firstReleases(current state.Release) []release {
	all := []release{{version: current.Since(0)[0].Version - 1}}
	for _, r := range current.Since(0) {
		all = append(all, release{version: r.Version, notBefore: r.NotBefore})
	}
	return all
}

// StatedRelease is a release as an agent states it.
type StatedRelease struct {
	Model   string
	Version int
	// Age is the longest time for which it may have been published when the report was sent.
	Age time.Duration
}

// statedKey identifies a release.
type statedKey struct {
	model   string
	version int
}

// reportTransit bounds the time by which a report may precede the subscription of this process. Such a
// report was sent to an earlier process at the same address.
const reportTransit = 250 * time.Millisecond

// recordStated records the releases that an agent states. A report may have waited before it was
// received, but it was sent after this process had subscribed, so its ages count from the subscription.
// Only the first statement of an agent is used, because the ages in later ones are larger by the time
// since. The agent knows that the version wasn't released before the resulting time, so one agent is
// enough. If several differ, the earliest time is used, so that a version is never used for too long.
func (f *Fleet) recordStated(u *upstream, all []StatedRelease) {
	if u.subscribedAt.IsZero() {
		return
	}
	for _, r := range all {
		k := statedKey{model: r.Model, version: r.Version}
		if r.Age <= 0 || r.Age > f.options.VersionTimeout || u.stated[k] || !f.isBoundUnknown(r.Model, r.Version) {
			continue
		}
		if u.stated == nil {
			u.stated = make(map[statedKey]bool)
		}
		u.stated[k] = true
		at := u.subscribedAt.Add(-r.Age - reportTransit)
		if known, ok := f.stated[k]; !ok || at.Before(known) {
			f.stated[k] = at
			f.options.Log.Info("release-stated", zap.String("model", r.Model), zap.Int("version", r.Version), zap.String("by", u.row.ID), zap.Time("after", at))
		}
	}
}

// isBoundUnknown reports whether the version is released and this process doesn't know when.
func (f *Fleet) isBoundUnknown(model string, version int) bool {
	newest := f.newestVersion(model)
	if version > newest || version <= newest-maxReleases {
		return false
	}
	at := slices.IndexFunc(f.releases[model], func(r release) bool { return r.version >= version })
	return at >= 0 && f.releases[model][at].notBefore.IsZero()
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
			if r.notBefore.IsZero() {
				r.notBefore = f.stated[statedKey{model: model, version: version + 1}]
			}
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
