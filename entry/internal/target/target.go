// Package target chooses the upstream of each request of an entry.
//
// # State
//
// A Fleet holds, for each upstream, its row, the requests that this entry has in progress
// there, the last load report of its agent, the load that other entries of the region
// have reported, and its health. Rows come from snapshots of the platform's tables, loads
// from the mesh.
//
// # Choice
//
// Fleet.ChooseEngine returns the engine with the earliest predicted first event among
// those that admit the request. Each engine is assigned to one entry of its region and to
// a few entries of other regions; other entries use it at a cost. All entries compute the
// assignment from the same names, without messages. In a pool with even load, shares of the
// engines take the place of the assignment (balance.go).
package target

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/clocks"
	"currantport.example/core/health"
	"currantport.example/core/hosts"
	"currantport.example/core/recent"
	"currantport.example/core/state"
	"currantport.example/core/timing"
	"currantport.example/entry/internal/level"
)

const (
	// loadReportTTL is how long a load report is valid. Agents send several in that time.
	loadReportTTL = 1500 * time.Millisecond
	// maxReportAge bounds the age of the status in a load report that arrives.
	maxReportAge = time.Second
	// closedTTL is how long an engine stays closed after the last load report that said so, in case its
	// agent has ended. The next agent of the host reports within it.
	closedTTL = 10 * time.Second
	// maxChoiceAge is how long after its choice an upstream may be sent the request. It covers the time to
	// open a connection.
	maxChoiceAge = 500 * time.Millisecond
	// mismatchBackoff is how long an engine that rejected a request for its version gets no
	// requests. It is busy loading a version, or its next load report states the new one.
	mismatchBackoff = time.Second
	// versionLogInterval is the shortest time between two log lines of an upstream about a return
	// to an older version.
	versionLogInterval = time.Second
	// unknownVersion stands for a version later than those that the entry knows. It keeps
	// engines usable for an entry that reaches neither the platform nor the agents.
	unknownVersion = -1
)

// LoadReport is the state of an engine as its agent reports it.
type LoadReport struct {
	// Started is when the engine started, by the engine's clock.
	Started time.Time
	// Serial increases with each report of one run of the agent.
	Serial uint64
	// Running is the number of requests that the engine runs or has queued.
	Running int
	// Pace is above 1 for an engine that is slower than the cost model of its pool.
	Pace float64
	// Closed is set while the engine accepts no requests.
	Closed bool
	// Leaving is set while the engine is shutting down.
	Leaving bool
	// Held lists the versions that the engine holds.
	Held []state.HeldVersion
	// Releases are those that the agent knows with their ages.
	Releases []StatedRelease
}

// upstream is the state of one upstream.
type upstream struct {
	row *state.Upstream
	// subscribedAt is when this process first subscribed to the load reports, or zero. stated holds
	// the releases whose age the agent has stated since.
	subscribedAt time.Time
	stated       map[statedKey]bool
	health       health.Record
	// running and unread are the requests in progress and the prompt tokens without a first
	// event that this entry has sent.
	running int
	unread  int

	report     LoadReport
	reportedAt time.Time
	// reportHeldSince is when the first load report with the versions of the last one arrived,
	// rowHeldSince the same for the row.
	reportHeldSince time.Time
	rowHeldSince    time.Time
	// assigned is set for engines that are assigned to this entry.
	assigned bool
	// remoteEntries is the number of entries of other regions that the engine is assigned
	// to; remoteAssigned is set if this entry is one of them.
	remoteEntries  int
	remoteAssigned bool
	// hasServed is set once the engine's row or a load report has listed a whole version.
	hasServed bool
	// even is what this entry may use of the engine if its pool has even load.
	even evenShare
	// history is what was known of its load, slowness its pace as concluded from first events. Both are
	// recorded only while the pool has even load.
	history  loadHistory
	slowness slowness
	// sentSinceReport is the number of requests sent since the last load report.
	sentSinceReport int
	// regionRunning and regionUnread are the loads that other entries of the region report.
	regionRunning int
	regionUnread  int
	// otherRunning is the number of requests in the last load report that neither this
	// entry nor the reported entry loads account for.
	otherRunning int

	// coldRate is the number of requests a second that a cold upstream of the pool takes, or zero
	// if none is ever cold.
	coldRate float64

	// demands is what the process has asked of this entry.
	demands demands
	// heldElsewhereUntil is the time until which it wants no requests from another entry.
	heldElsewhereUntil time.Time

	// observed is what the engine's responses say about its versions, by model.
	observed map[string]observedVersions
	// versionLoggedAt is the time of the last log line about a return to an older version.
	versionLoggedAt time.Time
}

// Options configure a Fleet.
type Options struct {
	// Self and Place identify this entry.
	Self  hosts.Name
	Place hosts.Place
	// Entries returns the entries that are live and ready.
	Entries func() []hosts.Host
	// Regions maps failure domains to regions.
	Regions map[hosts.Domain]hosts.Region
	// VersionTimeout is the time within which engines must serve a released version.
	// Zero means no bound.
	VersionTimeout time.Duration
	// EvenLoad says in which pools the engines of the region are divided among its entries by shares.
	EvenLoad EvenLoad
	// Random returns a number in [0, 1).
	Random func() float64
	Log    *zap.Logger
	// Metrics counts cold upstreams and the requests that have to wait for them. It may be nil.
	Metrics tally.Scope
}

// Fleet is an entry's state of all upstreams. It is safe for concurrent use.
type Fleet struct {
	options   Options
	mutex     sync.Mutex
	upstreams map[string]*upstream
	// pools lists the upstreams of each pool, ordered by id.
	pools map[string][]*upstream
	// entryLoads are the last reports of the other entries of the region.
	entryLoads map[hosts.Name]entryLoadReport
	// regionSize is the number of live entries of the region, at least one.
	regionSize int
	// departed holds the demands of upstreams that are listed no more, since they may only
	// have lapsed.
	departed *recent.Map[processKey, demands]
	// limited are the upstreams that have named a limit or were cold, by id.
	limited map[string]*upstream
	// unlistedLimits are limits of upstreams that aren't listed, as other entries told them.
	unlistedLimits *recent.Map[string, unlistedLimit]
	// limitedReturns is the time, by pool, at which the next client should return that is
	// refused because of limits.
	limitedReturns map[string]time.Time
	// knownEntries is the number of known entries, silent ones included.
	knownEntries int
	// seen are the entries that are live or lately were. liveFraction is the part of the known entries
	// that is live, regionFractions the same by region.
	seen            map[hosts.Name]knownEntry
	liveFraction    float64
	regionFractions map[hosts.Region]float64
	// regionViews holds what is known of the live entries of each region.
	regionViews map[hosts.Region]regionView
	// hasSnapshot is set once a snapshot with pools was applied. The first one has all rows.
	hasSnapshot bool
	// asks receives a value when the owner of a limit is to be asked. The stamps of asks count
	// from asksSince.
	asks      chan struct{}
	asksSince time.Time
	// unbounded holds the requests that have not started as far as is known and have no deadline
	// for it.
	unbounded map[*InFlight]struct{}
	// releases lists the versions of each model that this process has seen released, oldest
	// first. Versions before the first one end no later than that one says.
	releases map[string][]release
	// stated holds the earliest times at which agents state that versions may have been released.
	stated map[statedKey]time.Time
	// evacuated are the failure domains whose upstreams get no new requests.
	evacuated map[hosts.Domain]bool
	// meters count the requests by level, by pool, of pools whose requests differ in urgency.
	meters map[string]*level.Meter
	// even are the pools with even load.
	even map[string]evenPool
	// freeSlotsAt is when the free slots of these pools were last summed up.
	freeSlotsAt time.Time
	// running are the requests of this entry in progress by failure domain.
	running map[hosts.Domain]int
	// homeConflicts are the conflicts of the last snapshot, all of which have been logged.
	homeConflicts map[state.HomeConflict]bool
}

// New returns a fleet without upstreams.
func New(o Options) *Fleet {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return &Fleet{
		options: o, upstreams: make(map[string]*upstream), pools: make(map[string][]*upstream),
		releases: make(map[string][]release), stated: make(map[statedKey]time.Time), entryLoads: make(map[hosts.Name]entryLoadReport),
		departed: recent.New[processKey, demands](maxDeparted), unbounded: make(map[*InFlight]struct{}),
		limited: make(map[string]*upstream), unlistedLimits: recent.New[string, unlistedLimit](maxUnlistedLimits), limitedReturns: make(map[string]time.Time), regionViews: make(map[hosts.Region]regionView), even: make(map[string]evenPool), asks: make(chan struct{}, 1),
		seen:       make(map[hosts.Name]knownEntry),
		regionSize: 1,
		meters:     make(map[string]*level.Meter),
		running:    make(map[hosts.Domain]int),
	}
}

// ApplySnapshot applies the rows of a snapshot. It returns the addresses that no upstream
// uses any more.
func (f *Fleet) ApplySnapshot(now time.Time, s *state.Snapshot) []netip.AddrPort {
	conflicts := s.HomeConflicts(f.isKnownRegion)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.applyEvacuations(s)
	f.logHomeConflicts(conflicts)
	before := f.upstreams
	f.upstreams, f.pools = make(map[string]*upstream, len(before)), make(map[string][]*upstream)
	clear(f.limited)
	used := make(map[netip.AddrPort]bool)
	for _, p := range s.Pools() {
		for _, row := range s.Upstreams(p.Name) {
			known := before[row.ID]
			last := known.listedRow()
			u := f.updateUpstream(now, known, row)
			f.upstreams[row.ID] = u
			f.applyColdRow(now, u, p, known, last)
			if u.demands.limit != nil {
				f.limited[row.ID] = u
			}
			f.pools[p.Name] = append(f.pools[p.Name], u)
			used[row.Address] = true
		}
		if p.Engine != nil {
			f.recordReleases(now, s, p.Engine)
		}
	}
	f.hasSnapshot = f.hasSnapshot || len(s.Pools()) > 0
	for _, u := range f.upstreams {
		f.applyUnlisted(now, u)
	}
	f.assign()
	f.assignLimits(now)
	f.sumEntryLoads(now)
	var removed []netip.AddrPort
	for id, u := range before {
		if next := f.upstreams[id]; next == nil || !next.row.SameProcess(u.row) {
			f.keepDemands(now, u)
		}
		if !used[u.row.Address] {
			removed = append(removed, u.row.Address)
		}
	}
	return removed
}

// listedRow returns the row of an upstream, or nil without one.
func (u *upstream) listedRow() *state.Upstream {
	if u == nil {
		return nil
	}
	return u.row
}

// updateUpstream returns the known state with the new row, or a fresh state if the row is
// that of another process.
func (f *Fleet) updateUpstream(now time.Time, known *upstream, row *state.Upstream) *upstream {
	if known == nil || !known.row.SameProcess(row) {
		u := &upstream{row: row, rowHeldSince: now, demands: f.takeDemands(row), observed: make(map[string]observedVersions)}
		u.recordHeld(row.Held)
		if known != nil && !row.Started.IsZero() && known.report.Started.Equal(row.Started) {
			// The agent has reported the process before its row arrived.
			u.demands.closedAt = known.demands.closedAt
		}
		return u
	}
	known.recordHeld(row.Held)
	if known.row.Draining != row.Draining {
		f.options.Log.Info("upstream-draining", zap.String("upstream", row.ID), zap.Bool("draining", row.Draining))
	}
	if !slices.Equal(known.row.Held, row.Held) {
		known.rowHeldSince = now
	}
	known.row = row
	return known
}

// ReceiveLoadReport stores the load report of an upstream. Reports that arrive out of order,
// those of unknown upstreams and those of an earlier process are ignored.
func (f *Fleet) ReceiveLoadReport(now time.Time, id string, r LoadReport) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.upstreams[id]
	if u != nil {
		f.recordStated(u, r.Releases)
	}
	if u == nil || u.report.Serial >= r.Serial && now.Sub(u.reportedAt) < loadReportTTL {
		return
	}
	if !r.Started.IsZero() && r.Started.Before(u.row.Started) {
		return
	}
	if r.Started.Equal(u.report.Started) {
		for _, h := range r.Held {
			f.logOlderVersion(now, u, "report", versionOf(u.report.Held, h.Model), h.Version)
		}
	}
	if u.reportedAt.IsZero() || !slices.Equal(r.Held, u.report.Held) {
		u.reportHeldSince = now
	}
	u.report, u.reportedAt, u.sentSinceReport = r, now, 0
	u.recordClosed(now, r.Closed)
	if u.recordHeld(r.Held) {
		f.assignShares(f.regionEntries())
	}
	if r.Leaving && r.Started.Equal(u.row.Started) {
		f.recordLeaving(now, u, "agent")
	}
	u.otherRunning = max(r.Running-u.running-u.regionRunning, 0)
	u.recordIdle(now, r.Running)
	if u.even.active {
		u.otherRunning = max(r.Running-u.history.past(now), 0)
		u.slowness.applyReport(now, r.Pace)
		f.sumFreeSlots(now)
	}
}

// hasReport reports whether a valid load report is present.
func (u *upstream) hasReport(now time.Time) bool {
	return !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < loadReportTTL
}

// load returns the estimated load of the upstream. Other entries of other regions that the
// engine is assigned to are assumed to have sent as many requests since the last load report
// as this one, because their requests aren't reported yet.
func (u *upstream) load(now time.Time) timing.Load {
	l := timing.Load{Running: u.running + u.regionRunning, Unread: u.unread + u.regionUnread, Pace: 1}
	if u.remoteAssigned && u.even.share == 0 {
		l.Running += u.sentSinceReport * (u.remoteEntries - 1)
	}
	if u.hasReport(now) {
		l.Running += max(u.otherRunning, u.remoteShareRunning())
		l.Pace = u.report.Pace
	}
	return l
}

// InFlight is a request that was assigned to an upstream. It must end with Finish.
type InFlight struct {
	fleet    *Fleet
	upstream *upstream
	// Row is the upstream's row at the time of the choice.
	Row *state.Upstream
	// Version is the version that the engine serves, or zero if it is unknown.
	Version int
	// ExactVersion is set if a response of any other version must be rejected.
	ExactVersion bool
	// StartDeadline is the time after which the request must not start on this version,
	// or zero. It may be set once, by a later release, after OnStartDeadline was called.
	StartDeadline time.Time
	// Cutoff is the time from which no other engine with the version may be chosen, or zero.
	Cutoff time.Time
	// Served is the version in the response, or zero.
	Served int
	// Predicted is the expected time to the first event.
	Predicted time.Duration
	// Usage is the relation of this entry to the engine when it was chosen.
	Usage Usage
	// Running is the number of requests at the upstream before this one; LoadAge is the age
	// of the load report behind it, or zero without a report.
	Running int
	LoadAge time.Duration
	// pace is that of the load by which the engine was chosen.
	pace          float64
	model         string
	minVersion    int
	promptTokens  int
	startedAt     time.Time
	hasFirstEvent bool
	isFinished    bool
	// notify is called when StartDeadline is set after the choice.
	notify func(end time.Time)
}

// startRequest counts a request that is about to be sent. The caller holds the mutex.
func (f *Fleet) startRequest(now time.Time, u *upstream, model string, prompt int) *InFlight {
	u.demands.limit.spend(f, now)
	f.countStart(hosts.Domain(u.row.Domain))
	u.running++
	u.sentSinceReport++
	u.unread += prompt
	u.recordKnown(now)
	r := &InFlight{fleet: f, upstream: u, Row: u.row, model: model, promptTokens: prompt, startedAt: now}
	if u.hasReport(now) {
		r.LoadAge = now.Sub(u.reportedAt)
	}
	return r
}

// MayBeSent reports whether the upstream may still be sent the request. The process may have stood still since
// the choice, so that its version has ended or its row has changed.
func (r *InFlight) MayBeSent() bool {
	end := r.sendEnd()
	return clocks.Now().Before(end)
}

// sendEnd returns the time from which the upstream may not be sent the request.
func (r *InFlight) sendEnd() time.Time {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	end := r.startedAt.Add(maxChoiceAge)
	if r.model == "" {
		return end
	}
	if at := r.fleet.cutoff(r.model, r.minVersion); !at.IsZero() && at.Before(end) {
		return at
	}
	return end
}

// RecordFirstEvent records the arrival of the first byte of the response. Further calls have
// no effect.
func (r *InFlight) RecordFirstEvent(now time.Time) {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	if r.hasFirstEvent {
		return
	}
	r.hasFirstEvent = true
	delete(r.fleet.unbounded, r)
	r.upstream.unread -= r.promptTokens
	r.upstream.health.RecordSuccess(now, now.Sub(r.startedAt))
	r.fleet.recordPace(now, r)
}

// Outcome classifies the end of a request with respect to its upstream.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeSuccess is a complete response.
	OutcomeSuccess Outcome = iota
	// OutcomeNeutral says nothing about the upstream: the client left, or the request
	// required another instance.
	OutcomeNeutral
	// OutcomeConnectFailed is a connection that could not be established.
	OutcomeConnectFailed
	// OutcomeFailed is a lost, truncated or failed response.
	OutcomeFailed
	// OutcomeTimeout is a response that didn't arrive in time.
	OutcomeTimeout
	// OutcomeShed is a request that the upstream declined because of its load.
	OutcomeShed
	// OutcomeMismatch is a request that the upstream declined because it serves another
	// version than expected.
	OutcomeMismatch
)

// Finish ends the request and records its outcome. Further calls have no effect.
func (r *InFlight) Finish(now time.Time, o Outcome) {
	r.fleet.mutex.Lock()
	defer r.fleet.mutex.Unlock()
	if r.isFinished {
		return
	}
	r.isFinished = true
	delete(r.fleet.unbounded, r)
	r.fleet.countEnd(hosts.Domain(r.Row.Domain))
	u := r.upstream
	u.running--
	u.recordKnown(now)
	if !r.hasFirstEvent {
		u.unread -= r.promptTokens
	}
	switch o {
	case OutcomeConnectFailed:
		u.health.RecordRefused(now)
	case OutcomeFailed:
		u.health.RecordFailure(now)
	case OutcomeTimeout:
		u.health.RecordTimeout(now, now.Sub(r.startedAt))
	case OutcomeShed:
		u.recordShed(now)
	case OutcomeMismatch:
		v := u.observed[r.model]
		v.rejected, v.rejectedAt = max(v.rejected, r.Version), now
		u.observed[r.model] = v
	}
}

// recordShed marks the engine as full until the next load report, whatever the last one said.
func (u *upstream) recordShed(now time.Time) {
	if u.row.Slots > 0 && u.hasReport(now) {
		u.otherRunning = max(u.otherRunning, u.row.Slots-u.running-u.regionRunning)
	}
}
