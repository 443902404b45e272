// Package loader loads the released version of a model into the engine of the agent.
//
// # Steps
//
// The pieces of a version are fetched into memory, staged at the engine and verified there.
// When the roll-out slot of the engine starts, entries are notified to send it no more
// requests, and it is ordered to load the version. An engine that serves no version gets
// the order as soon as the pieces are staged.
//
// # Versions in quick succession
//
// If a version is released while the previous one is still being loaded, the newer one is
// loaded and the previous one skipped. But if the pieces of the newer one don't arrive in
// time, the previous one is loaded, so that the engine doesn't stay idle.
//
// # Failures
//
// Staged pieces may become corrupt, an engine may restart and lose its versions, a newer
// version may be released at any time. So each round compares the status that the engine
// reports with the released version. An order without a response may take effect later. It
// expects the engine's order count, as each order does, and until that count is another, the
// same version stays staged and is ordered again.
//
// # Validation
//
// An engine loads what is staged when it accepts an order, and doesn't check it. It gets no
// requests until each piece is known to have been valid then. If that can't be known, it drops
// the layers and loads them again.
package loader

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/cache"
	"currantport.example/core/chunks"
	"currantport.example/core/clocks"
	"currantport.example/core/engine"
	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/shell"
	"currantport.example/core/state"
)

const (
	// pollInterval is the time between two polls of the engine.
	pollInterval = 50 * time.Millisecond
	// callTimeout is the timeout of a call to the engine, which is on the same host.
	callTimeout = time.Second
	// closeDelay is the time between the notification to entries and the order.
	closeDelay = 30 * time.Millisecond
	// orderBackoff is the time until the next order after one that was rejected or had no
	// effect.
	orderBackoff = 200 * time.Millisecond
	// minServedBucket and servedBuckets give histogram buckets from 0.1 s to 25 s, within
	// which a released version is served.
	minServedBucket = 100 * time.Millisecond
	servedBuckets   = 9
)

// VersionNamer returns the digest under which the manifest of a version is cached.
type VersionNamer interface {
	Name(model string, version int) chunks.Digest
}

// Fetcher fetches versions into the cache.
type Fetcher interface {
	Manifest(ctx context.Context, name chunks.Digest) (*cache.Version, error)
	Fetch(ctx context.Context, name chunks.Digest) (*cache.Version, error)
}

// Options configure a loader.
type Options struct {
	// Pool is the pool of the engine, Address its address for requests.
	Pool    string
	Address netip.AddrPort
	Mirror  *feed.Mirror
	Engine  engine.Local
	Cache   *cache.Cache
	Namer   VersionNamer
	Fetcher Fetcher
	// VersionTimeout is the time within which a released version must be served, or zero for
	// no limit.
	VersionTimeout time.Duration
	// Notify is called when a change of the engine must be reported to entries at once.
	Notify func()
	Scope  tally.Scope
	Log    *zap.Logger
}

// targetVersion is a version that the engine is to serve. The zero value means none.
type targetVersion struct {
	model   string
	version int
}

// releaseTime is when a version was released.
type releaseTime struct {
	// notBefore is the earliest time at which it may have been, seenAt when this process saw it.
	notBefore time.Time
	seenAt    time.Time
}

// Loader keeps one engine at the released version.
type Loader struct {
	options Options
	orders  tally.Counter
	// served is the histogram of the time from a release until the engine serves it.
	served  tally.Histogram
	fetcher *weightFetcher
	stager  *stager
	// slotTarget is the version to which slot belongs, slotHeld the one that the engine served when
	// it was planned, or zero.
	slotTarget targetVersion
	slotHeld   int
	slot       RolloutSlot
	// orderedAt is the time of the last order, or zero if its load has ended.
	orderedAt time.Time
	retryAt   time.Time
	// open is the order that the engine may still accept, or nil.
	open  *openOrder
	sent  sentOrder
	stale staleLayers
	// isFenced is set once no order of an earlier agent can be accepted any more.
	isFenced bool
	// tablesAt is when the tables were known that say how many layers the model has.
	tablesAt time.Time
	// load is the last load, or nil if the engine has accepted none since it restarted.
	load *load
	// releases holds when each version was released.
	releases map[targetVersion]releaseTime
	// skipped is the last complete version that wasn't loaded because it ends too early. It is
	// logged once.
	skipped targetVersion
	// retained holds the version for which all others were dropped from the cache.
	retained map[targetVersion]bool

	mutex  sync.Mutex
	status engine.Status
	// statusAt is when the status was asked for.
	statusAt time.Time
	closing  bool
	// isSilent is set while the agent doesn't know whether the engine may get requests.
	isSilent bool
}

// New starts a loader. The clean-up function stops it.
func New(o Options) (*Loader, func()) {
	buckets := tally.MustMakeExponentialDurationBuckets(minServedBucket, 2, servedBuckets)
	l := &Loader{
		options: o, orders: o.Scope.Counter("orders"), served: o.Scope.Histogram("release_seconds", buckets), releases: make(map[targetVersion]releaseTime),
	}
	var stopFetcher, stopStager func()
	l.fetcher, stopFetcher = newWeightFetcher(o)
	l.stager, stopStager = newStager(o)
	g := shell.NewGroup()
	g.Go(l.run)
	return l, func() {
		g.Stop()
		l.stopCall()
		stopStager()
		stopFetcher()
	}
}

// Report is the state of the engine as the loader knows it.
type Report struct {
	Status engine.Status
	// Closing is set when the engine is about to load and must get no requests.
	Closing bool
	// Row is the upstream row of the engine, or nil.
	Row *state.Upstream
	// Releases are those of the engine's model that still bound the use of the version before
	// and whose age is known.
	Releases []state.Release
}

// Report returns the last status of the engine. The second result is false if the status is
// older than callTimeout or the engine has no row.
func (l *Loader) Report() (Report, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	r := Report{Status: l.status, Closing: l.closing, Row: l.row(l.status.Started), Releases: l.recentReleases()}
	return r, !l.isSilent && !l.statusAt.IsZero() && clocks.Since(l.statusAt) < callTimeout && r.Row != nil
}

// recentReleases returns the releases that still bound the use of the version before.
func (l *Loader) recentReleases() []state.Release {
	t, ok := l.releasedVersion()
	if !ok {
		return nil
	}
	return slices.DeleteFunc(l.options.Mirror.Snapshot().Release(t.model).Since(0), func(r state.Release) bool {
		return r.NotBefore.IsZero() || clocks.Since(r.NotBefore) >= l.options.VersionTimeout
	})
}

// row returns the upstream row of the engine, or nil. After a restart, the engine may have
// two rows for a while.
func (l *Loader) row(started time.Time) *state.Upstream {
	var found *state.Upstream
	for _, u := range l.options.Mirror.Snapshot().Upstreams(l.options.Pool) {
		if u.Address != l.options.Address {
			continue
		}
		if found == nil || u.Started.Equal(started) {
			found = u
		}
	}
	return found
}

func (l *Loader) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		l.round(ctx)
		select {
		case <-t.C:
		case <-l.stager.checked:
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loader) round(ctx context.Context) {
	l.endCall()
	if !l.pollStatus(ctx) {
		return
	}
	l.updateValidity()
	if !l.isServable() {
		l.setClosing(true)
	}
	l.setSilent()
	t, ok := l.releasedVersion()
	if !ok {
		return
	}
	if _, known := l.releases[t]; !known {
		l.recordReleases(t)
	}
	if held := l.heldVersion(t.model); l.slotTarget != t || held != 0 && held < l.slotHeld {
		l.planSlot(t)
	}
	l.fetcher.setTarget(t)
	isValidating := l.isValidating(t)
	if !l.mustHoldStage() {
		l.stager.release()
	}
	if isValidating {
		return
	}
	if l.status.Holds(t.model, t.version) && !l.isStale(t) {
		l.resumeRequests(t)
		return
	}
	if l.open != nil {
		if !l.open.isFence {
			l.stager.setTarget(l.open.target)
		}
		l.advance(ctx, l.open.target)
		return
	}
	if next, ok := l.nextLoad(t); ok {
		l.stager.setTarget(next)
		l.advance(ctx, next)
		return
	}
	// The engine serves the best available version.
	l.orderedAt = time.Time{}
	l.setClosing(false)
	l.stager.setTarget(t)
}

// recordReleases records the earliest times at which a version, and those that it replaced unseen,
// may have been released. One for which it isn't known, as it may be at the start, counts as
// released a full VersionTimeout ago. So does the first one that is recorded, if the engine lacks the
// version before it too.
func (l *Loader) recordReleases(t targetVersion) {
	now, held, isFirst := clocks.Now(), l.heldVersion(t.model), len(l.releases) == 0
	for _, r := range l.options.Mirror.Snapshot().Release(t.model).Since(0) {
		v, at := targetVersion{model: r.Model, version: r.Version}, r.NotBefore
		if _, known := l.releases[v]; known {
			continue
		}
		if at.IsZero() || isFirst && held != 0 && held < v.version-1 {
			at = now.Add(-l.options.VersionTimeout)
		}
		l.releases[v], isFirst = releaseTime{notBefore: at, seenAt: now}, false
		l.options.Log.Info("release", zap.String("model", v.model), zap.Int("version", v.version), zap.Duration("age", now.Sub(at)))
	}
}

// nextLoad returns the version to load now, if there is one. Until the newest version is
// complete, this is an earlier one that the engine lacks, but only if the newest isn't
// expected before the deadline at which the engine must stop serving its current version, and if
// more than twice the load time is left until the earlier one ends. The second condition doesn't
// consider the expected arrival of the newest: the estimate is too early while the origin is slow, and
// a third of the engines then skipped a version that they could have served for seconds.
func (l *Loader) nextLoad(t targetVersion) (targetVersion, bool) {
	if l.isDamaged(t) {
		return t, true
	}
	found, ok := l.fetcher.newestComplete(t.model)
	if !ok || l.holdsOrNewer(found) && !l.isDamaged(found) {
		return targetVersion{}, false
	}
	if found == t {
		return found, true
	}
	now := clocks.Now()
	timeLeft, inProgress := l.fetcher.progressOf(t).TimeLeft(now)
	if len(l.status.Held) > 0 && inProgress && !now.Add(timeLeft).After(l.slot.Deadline(l.options.VersionTimeout)) {
		return targetVersion{}, false
	}
	left, loadTime := l.endOf(found).Sub(now), l.options.loadTime(t.model)
	if left <= 2*loadTime {
		l.logSkipped(found, left, loadTime)
		return targetVersion{}, false
	}
	return found, true
}

// endOf returns the time after which the engine gets no requests for a version that was replaced: the
// earliest deadline of the later versions.
func (l *Loader) endOf(t targetVersion) time.Time {
	end := clocks.Now().Add(unboundedLimit)
	for other, r := range l.releases {
		if other.model != t.model || other.version <= t.version {
			continue
		}
		if at := (RolloutSlot{NotBefore: r.notBefore}).Deadline(l.options.VersionTimeout); at.Before(end) {
			end = at
		}
	}
	return end
}

// loadTime returns the time that the engine takes to load a version, or zero if it isn't known.
func (o Options) loadTime(model string) time.Duration {
	if p := o.Mirror.Snapshot().Pool(o.Pool); p != nil && p.Engine != nil {
		for _, m := range p.Engine.Models {
			if m.Name == model {
				return m.LoadTime
			}
		}
	}
	return 0
}

// logSkipped logs once that a version is complete and isn't loaded.
func (l *Loader) logSkipped(t targetVersion, left, loadTime time.Duration) {
	if l.skipped != t {
		l.skipped = t
		l.options.Log.Info("load-skipped", zap.String("model", t.model), zap.Int("version", t.version), zap.Duration("left", left), zap.Duration("load", loadTime))
	}
}

// releasedVersion returns the version that the engine is to serve. For a pool with several
// models it is that of the first model.
func (l *Loader) releasedVersion() (targetVersion, bool) {
	s := l.options.Mirror.Snapshot()
	p := s.Pool(l.options.Pool)
	if p == nil || p.Engine == nil || len(p.Engine.Models) == 0 {
		return targetVersion{}, false
	}
	r := s.Release(p.Engine.Models[0].Name)
	return targetVersion{model: r.Model, version: r.Version}, true
}

// planSlot computes the roll-out slot of the engine for a version.
func (l *Loader) planSlot(t targetVersion) {
	l.slotTarget, l.slotHeld, l.orderedAt = t, l.heldVersion(t.model), time.Time{}
	s := l.options.Mirror.Snapshot()
	release := l.earliestMissing(t)
	l.slot = NewRolloutSlot(release.notBefore, release.seenAt, t.model, t.version, l.row(l.status.Started), s.Upstreams(l.options.Pool))
	l.options.Log.Info("load-planned", zap.String("model", t.model), zap.Int("version", t.version),
		zap.Int("rank", l.slot.Rank), zap.Int("count", l.slot.Count), zap.Duration("after", l.slot.Start(l.options.VersionTimeout).Sub(clocks.Now())))
}

// earliestMissing returns the time of the earliest release that the engine lacks.
func (l *Loader) earliestMissing(t targetVersion) releaseTime {
	earliest := l.releases[t]
	for other, r := range l.releases {
		if other.model == t.model && other.version <= t.version && !l.holdsOrNewer(other) && r.notBefore.Before(earliest.notBefore) {
			earliest = r
		}
	}
	return earliest
}

// holdsOrNewer reports whether the engine serves the version or a newer one.
func (l *Loader) holdsOrNewer(t targetVersion) bool { return l.heldVersion(t.model) >= t.version }

// heldVersion returns the version of a model that the engine serves, or zero.
func (l *Loader) heldVersion(model string) int {
	version := 0
	for _, h := range l.status.Held {
		if h.Model == model {
			version = max(version, h.Version)
		}
	}
	return version
}

// advance takes the next step towards serving the version.
func (l *Loader) advance(ctx context.Context, t targetVersion) {
	now := clocks.Now()
	if l.isLoading(now) {
		return
	}
	// The load of an earlier order has ended, and the engine doesn't serve the version.
	l.orderedAt = time.Time{}
	if now.Before(l.retryAt) {
		return
	}
	if l.open != nil || l.mustDrop(t) {
		l.stager.requestCheck()
		l.orderLoad(t)
		return
	}
	isComplete := l.stager.isComplete(t)
	if !isComplete && !l.needsFence() {
		return
	}
	if l.awaitsSlot(now) {
		l.setClosing(false)
		return
	}
	if !isComplete {
		l.advanceFence(ctx, t)
		return
	}
	l.stager.requestCheck()
	if !l.stager.isChecked() {
		return
	}
	l.stopRequests()
	if len(l.status.Held) > 0 && !clocks.Sleep(ctx, closeDelay) {
		return
	}
	if l.stager.isChecked() {
		l.orderLoad(t)
	}
}

// isLoading reports whether an order waits for its response or the engine may still carry it out.
func (l *Loader) isLoading(now time.Time) bool {
	return l.open != nil && l.open.call != nil || l.status.Busy || !l.orderedAt.IsZero() && now.Sub(l.orderedAt) < orderBackoff
}

// awaitsSlot reports whether the engine serves requests until its roll-out slot starts.
func (l *Loader) awaitsSlot(now time.Time) bool {
	return l.open == nil && l.heldVersion(l.slotTarget.model) < l.slotTarget.version && len(l.status.Held) > 0 && l.isServable() && now.Before(l.slot.Start(l.options.VersionTimeout))
}

// stopRequests notifies entries to send no more requests.
func (l *Loader) stopRequests() { l.setClosing(true) }

// resumeRequests notifies entries that the engine serves the released version, and drops
// the other versions from the cache.
func (l *Loader) resumeRequests(t targetVersion) {
	if !l.isServable() {
		return
	}
	if !l.orderedAt.IsZero() {
		since := clocks.Since(l.releases[t].notBefore)
		l.served.RecordDuration(since)
		l.options.Log.Info("version-served", zap.String("model", t.model), zap.Int("version", t.version), zap.Duration("since", since))
	}
	l.orderedAt = time.Time{}
	l.setClosing(false)
	if l.fetcher.progressOf(t).Done() && !l.retained[t] && l.open == nil {
		l.retained = map[targetVersion]bool{t: true}
		l.fetcher.retain(t)
	}
}

// AgentName returns the name of the host on which an upstream and its agent run.
func AgentName(u *state.Upstream) hosts.Name { return hosts.Name(u.Address.Addr().String()) }
