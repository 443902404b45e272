package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
	"currantport.example/core/shell"
	"currantport.example/core/state"
)

const (
	// LongPollTimeout is how long a source may hold a pull. A response of the platform
	// is due at least that often, and the staleness of a replica stays below about
	// twice this time.
	LongPollTimeout = 800 * time.Millisecond
	// ContactTimeout is the time since the last contact after which a source is stale
	// and a process switches to another one. It is longer than LongPollTimeout, so that
	// it expires only if a response is missing, and short enough to leave time to apply
	// a configuration within its deadline.
	ContactTimeout = 1100 * time.Millisecond
	// pullGrace is how much longer than LongPollTimeout a pull may take.
	pullGrace = 800 * time.Millisecond
	// responseGrace is how much longer than ContactTimeout an entry waits for a peer's response. A peer
	// that has lost contact itself says so after ContactTimeout.
	responseGrace = 100 * time.Millisecond
	// probeTimeout bounds the pull from a peer while the entry has no contact, or if the peer didn't
	// respond before. While the platform can't be read either it doubles with each failure, since a
	// response with many rows may take longer.
	probeTimeout = 200 * time.Millisecond
	// batchInterval lets changes that are published together arrive as one update.
	batchInterval = 40 * time.Millisecond
	// introductionTimeout bounds the call in which a leader asks for rows of earlier eras.
	introductionTimeout = 300 * time.Millisecond
	// substituteTime is how long a process that has read the platform in place of a leader does
	// so again as soon as no other source is in contact.
	substituteTime = 10 * time.Second
	// idleInterval is the time until the sources are checked again if none is usable.
	idleInterval = 100 * time.Millisecond
	// startInterval is the same for a process without rows, which can't serve yet.
	startInterval = 10 * time.Millisecond
	// startTimeout is how long a process without rows prefers the entries of its region to other
	// sources. Those that are listed as ready may have restarted and have no rows either.
	startTimeout = 1500 * time.Millisecond
)

// FollowOptions configure a follower.
type FollowOptions struct {
	Identity Identity
	Mirror   *Mirror
	// Entries returns the entries that are ready, Members all that are live. The lists aren't
	// changed but replaced.
	Entries func() []hosts.Host
	Members func() []hosts.Host
	// Source returns the source with the name; PlatformSource stands for the platform.
	// The second result is false if the process is unknown.
	Source func(name hosts.Name) (Source, bool)
	// FallbackTimeout is the time since the last contact after which a process that
	// isn't a leader reads the platform directly.
	FallbackTimeout time.Duration
	Scope           tally.Scope
	Log             *zap.Logger
}

// Follower keeps the mirror of a process up to date.
type Follower struct {
	options  FollowOptions
	selector SourceSelector
	// current is the source of the last good update, or empty.
	current hosts.Name
	// resync makes the next pull request all rows.
	resync bool
	// introduced is set once a leader has asked another process for the rows of earlier eras.
	introduced bool
	// platformFirst and platformLast are the sources in the order for the entries of orderedBy.
	platformFirst []hosts.Name
	platformLast  []hosts.Name
	orderedBy     hosts.ListID
	// rank is that among the members of rankedBy.
	rank     int
	rankedBy hosts.ListID
	// stale holds the peers that have responded since the last contact without having any themselves.
	// silent is set if another one didn't respond in time.
	stale  map[hosts.Name]bool
	silent bool
	// leads is set while this process is the leader of its failure domain.
	leads     bool
	startedAt time.Time
	// respondedAt is when another process last responded, or the time of the start.
	respondedAt time.Time
	// substitutedAt is when this process last read the platform without being a leader.
	substitutedAt time.Time
}

// NewFollower starts to follow. The clean-up function stops it.
func NewFollower(o FollowOptions) (*Follower, func()) {
	now := clocks.Now()
	f := &Follower{options: o, startedAt: now, respondedAt: now, stale: make(map[hosts.Name]bool)}
	g := shell.NewGroup()
	g.Go(f.run)
	return f, g.Stop
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		name, wait := f.selector.Next(clocks.Now(), f.sources())
		if name == "" {
			wait = idleInterval
		}
		if wait > 0 {
			clocks.Sleep(ctx, min(wait, f.checkInterval()))
			continue
		}
		if f.pull(ctx, name) {
			clocks.Sleep(ctx, batchInterval)
		}
	}
}

// checkInterval is the time until the sources are checked again.
func (f *Follower) checkInterval() time.Duration {
	if f.options.Mirror.Head() == 0 {
		return startInterval
	}
	return idleInterval
}

// sources returns the usable sources, best first. An entry that has lost contact tries the
// platform itself first, because it can't tell which other processes have lost contact too;
// the entries of a failure domain do so one after the other, so that an outage of the
// platform isn't answered by all of them. An agent does so only if no entry responds.
func (f *Follower) sources() []hosts.Name {
	entries := f.options.Entries()
	f.orderSources(entries)
	if f.isStarting() {
		if nearest, ok := f.options.Identity.NearestFirst(entries); ok {
			return nearest
		}
		if f.isEarly() {
			return nil
		}
	}
	if f.leads {
		return f.platformFirst
	}
	silence := f.sinceLastContact()
	if f.options.Identity.Role != hosts.RoleEntry {
		silence = clocks.Since(f.respondedAt)
	}
	switch {
	case silence >= f.fallbackTimeout():
		return f.platformFirst
	case clocks.Since(f.substitutedAt) < substituteTime:
		return f.platformLast
	}
	return f.platformLast[:len(f.platformLast)-1]
}

// isStarting reports whether this process has no rows yet and hasn't looked for them for long.
func (f *Follower) isStarting() bool {
	return f.options.Mirror.Head() == 0 && clocks.Since(f.startedAt) < startTimeout
}

// isEarly reports whether an entry that has just started and knows no ready one of its region leaves the
// first read over a link between regions to others.
func (f *Follower) isEarly() bool {
	return f.options.Identity.Role == hosts.RoleEntry && clocks.Since(f.startedAt) < f.options.Identity.StartDelay()
}

// orderSources updates the orders of the sources if the entries have changed. While none is ready,
// the last order holds, unless this process has no rows yet: in an outage all would lead.
func (f *Follower) orderSources(entries []hosts.Host) {
	id := hosts.ListIDOf(entries)
	if f.platformFirst != nil && (id == f.orderedBy || len(entries) == 0 && f.options.Mirror.Head() != 0) {
		return
	}
	order := f.options.Identity.SourceOrder(entries)
	f.leads = f.options.Identity.Role == hosts.RoleEntry && order[0] == PlatformSource
	peers := slices.DeleteFunc(order, func(n hosts.Name) bool { return n == PlatformSource })
	f.platformFirst = append([]hosts.Name{PlatformSource}, peers...)
	f.platformLast = append(slices.Clone(peers), PlatformSource)
	f.orderedBy = id
}

// fallbackTimeout returns the time without contact after which this process reads the platform
// although it doesn't lead.
func (f *Follower) fallbackTimeout() time.Duration {
	if f.options.Identity.Role != hosts.RoleEntry {
		return f.options.FallbackTimeout
	}
	members := f.options.Members()
	if id := hosts.ListIDOf(members); id != f.rankedBy {
		f.rank, f.rankedBy = f.options.Identity.BackupRank(members), id
	}
	return f.options.FallbackTimeout + FallbackDelay(f.rank, f.isOutage())
}

// isOutage reports whether the platform rather than the sources of this process seems to be out: each
// peer that was asked since the last contact responded, and none has contact itself.
func (f *Follower) isOutage() bool {
	peers := len(f.platformLast) - 1
	return !f.silent && len(f.stale) > 0 && len(f.stale) >= min(peers, outageWitnesses)
}

// sinceLastContact returns the time since the last response of the platform, or since
// the start if there was none.
func (f *Follower) sinceLastContact() time.Duration {
	at := f.options.Mirror.LastContact()
	if at.Before(f.startedAt) {
		at = f.startedAt
	}
	return clocks.Since(at)
}

// pull applies one update and reports whether it changed rows.
func (f *Follower) pull(ctx context.Context, name hosts.Name) bool {
	source, ok := f.options.Source(name)
	if !ok {
		f.recordBackoff(name)
		return false
	}
	after := f.options.Mirror.Head()
	if f.resync {
		after = 0
	}
	wait, timeout := f.pullTimes(name)
	pulling, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stop := f.abandonForNeighbor(cancel)
	u, err := source.Pull(pulling, after, wait)
	if stop() {
		return false
	}
	if err != nil {
		f.recordFailure(ctx, name, err)
		return false
	}
	switch {
	case name != PlatformSource:
		f.respondedAt = clocks.Now()
	case !f.leads:
		f.substitutedAt = clocks.Now()
	}
	change, err := f.options.Mirror.Apply(u)
	f.logChange(name, u, change)
	f.resync = errors.Is(err, ErrDiverged)
	if f.resync {
		f.options.Log.Warn("feed-diverged", zap.String("source", string(name)), zap.Uint64("era", u.Head.Era()), zap.Uint64("head", u.Head.Number()))
		return false
	}
	f.updateHealth(name, u)
	if name == PlatformSource && !f.introduced {
		f.introduced = true
		f.pullRetained(ctx)
	}
	return change.Rows > 0
}

// pullTimes returns how long a source may hold a pull, and the time after which the pull is given up.
// Waits for several silent peers add up, so an entry leaves each of them in time to read the platform
// itself within the bound of a change.
func (f *Follower) pullTimes(name hosts.Name) (wait, timeout time.Duration) {
	longest := LongPollTimeout + pullGrace
	switch {
	case f.isStarting():
		// A source without rows must respond at once.
		return 0, longest
	case name == PlatformSource || f.options.Identity.Role != hosts.RoleEntry || f.options.Mirror.Head() == 0:
		return LongPollTimeout, longest
	}
	silence, failures := f.sinceLastContact(), f.selector.Failures(name)
	// A peer responds when it is confirmed again, at least every LongPollTimeout, or has lost contact. With
	// a wait as short as that, a confirmation between two pulls would be seen one period late.
	wait, timeout = ContactTimeout, max(ContactTimeout+responseGrace-silence, probeTimeout)
	if silence >= ContactTimeout || failures > 0 {
		wait, timeout = 0, probeTimeout
	}
	left := f.fallbackTimeout() - silence
	if left <= 0 {
		// The platform can't be read either.
		return wait, min(probeTimeout<<min(failures, 4), longest)
	}
	return wait, max(min(timeout, left), responseGrace)
}

// pullRetained asks one process for the rows of earlier eras. A leader that has just started
// lacks them: it never had them, and pulls from the platform only.
func (f *Follower) pullRetained(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, introductionTimeout)
	defer cancel()
	for _, name := range f.platformFirst {
		source, ok := f.options.Source(name)
		if name == PlatformSource || !ok {
			continue
		}
		u, err := source.Pull(ctx, f.options.Mirror.Head(), 0)
		if err != nil {
			f.options.Log.Debug("retained-pull-failed", zap.String("source", string(name)), zap.Error(err))
			return
		}
		change, err := f.options.Mirror.Apply(u)
		f.logChange(name, u, change)
		f.resync = f.resync || errors.Is(err, ErrDiverged)
		return
	}
}

func (f *Follower) recordFailure(ctx context.Context, name hosts.Name, err error) {
	if ctx.Err() != nil {
		return
	}
	f.recordBackoff(name)
	if name != PlatformSource && errors.Is(err, context.DeadlineExceeded) {
		f.silent = true
	}
	if f.current == name {
		f.current = ""
		staleness, _ := f.options.Mirror.Staleness()
		f.options.Log.Warn("feed-lost", zap.String("source", string(name)), zap.Duration("age", staleness), zap.Error(err))
	}
}

// recordBackoff records that a source can't be used for a while.
func (f *Follower) recordBackoff(name hosts.Name) {
	longest := maxFailureBackoff
	if name == PlatformSource && (f.leads || f.options.Identity.Role == hosts.RoleEntry && !f.isOutage()) {
		longest = maxPlatformBackoff
	}
	f.selector.RecordFailure(clocks.Now(), name, longest, rand.Float64())
}

// updateHealth records whether the source of an update is stale.
func (f *Follower) updateHealth(name hosts.Name, u Update) {
	now := clocks.Now()
	if now.Sub(u.LastContact) >= ContactTimeout {
		f.stale[name] = true
		f.selector.RecordStale(now, name)
		return
	}
	f.silent = false
	clear(f.stale)
	if u.Head < f.options.Mirror.Head() {
		f.selector.RecordStale(now, name)
		return
	}
	f.selector.RecordSuccess(name)
	if f.current != name {
		f.current = name
		f.options.Log.Info("feed-selected", zap.String("source", string(name)), zap.Uint64("era", u.Head.Era()), zap.Uint64("head", u.Head.Number()),
			zap.Duration("age", now.Sub(u.ConfirmedAt)))
	}
}

func (f *Follower) logChange(name hosts.Name, u Update, c Change) {
	for _, invalid := range c.RowErrors {
		f.options.Log.Warn("row-refused", zap.String("row", invalid.Key), zap.Uint64("era", invalid.Revision.Era()), zap.Uint64("revision", invalid.Revision.Number()),
			zap.String("fault", invalid.Reason))
	}
	if c.Rows == 0 {
		return
	}
	f.options.Log.Info("rows-applied", zap.String("source", string(name)), zap.Uint64("era", c.To.Era()), zap.Uint64("from", c.From.Number()),
		zap.Uint64("to", c.To.Number()), zap.Int("rows", c.Rows), zap.Int("retained", c.Retained), zap.Strings("keys", sampleKeys(u.Rows)),
		zap.Duration("age", clocks.Since(u.ConfirmedAt)))
	f.options.Scope.Gauge("era").Update(float64(c.To.Era()))
	f.options.Scope.Gauge("retained_rows").Update(float64(c.Retained))
}

// maxLoggedKeys bounds the row keys in one log line.
const maxLoggedKeys = 6

func sampleKeys(rows []state.Row) []string {
	var keys []string
	for _, r := range rows[:min(len(rows), maxLoggedKeys)] {
		keys = append(keys, r.Key)
	}
	return keys
}
