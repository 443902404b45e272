// Package target keeps what an entry knows of the upstreams: which there are, what
// it has sent to each, how loaded their agents say they are and how well they
// answer. It chooses where the next request goes.
package target

import (
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/health"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/timing"
)

const (
	// digestLife is how long a load digest counts. Agents send several in that time.
	digestLife = 1500 * time.Millisecond
	// movedPause is how long an engine that serves another version than it was thought to
	// gets no requests. It is busy with a load, or its next digest tells its version.
	movedPause = time.Second
	// unknownVersion stands for a version later than those that the entry knows of. Its
	// engines are used by an entry that hears neither the platform nor the agents.
	unknownVersion = -1
)

// LoadReport is what the agent beside an engine says of it.
type LoadReport struct {
	// Started is when the engine started, by its own clock.
	Started time.Time
	// Serial grows with each digest of one start of the agent.
	Serial uint64
	// Running counts the requests that run or wait.
	Running int
	Pace    float64
	// Closed tells that the engine takes no requests for now.
	Closed bool
	Held   []state.HeldVersion
}

// upstream is what is known of one upstream.
type upstream struct {
	row    *state.Upstream
	health health.Record
	// running and unread are what this entry has sent.
	running int
	unread  int

	digest LoadReport
	heard  time.Time
	// home tells that the engine is one of those that this entry uses first.
	home bool
	// guests is the number of entries of other regions that use the engine, guest tells
	// that this entry is one of them.
	guests int
	guest  bool
	// unseen is the number of requests that were sent since the last digest.
	unseen int
	// near and nearUnread are what the other entries of the region say that they have
	// sent.
	near       int
	nearUnread int
	// others is what all others had sent at the last digest beyond that.
	others int

	// answers is what the engine's own answers say, by model.
	answers map[string]versions
}

// versions are those of one model by which an engine has answered or not. One start of
// an engine never goes back to an older one.
type versions struct {
	// seen is the newest by which it has answered.
	seen int
	// missed is the newest that it has declined because it serves another one, at
	// declined the last time.
	missed   int
	declined time.Time
}

// releasesMost is the number of versions of a model that are remembered.
const releasesMost = 8

// release is a version and when this process learnt of it.
type release struct {
	version int
	learnt  time.Time
}

// Options are the parts of a fleet.
type Options struct {
	Self  hosts.Name
	Place hosts.Place
	// Entries returns the live entries.
	Entries func() []hosts.Host
	// Regions maps failure domains to regions.
	Regions map[hosts.Domain]hosts.Region
	// VersionTimeout is the time within which engines must serve a released version.
	// Zero means no bound.
	VersionTimeout time.Duration
	// Random returns a number from 0 to 1.
	Random func() float64
	Log    *zap.Logger
}

// Fleet is what an entry knows of all upstreams. Goroutines share it.
type Fleet struct {
	options   Options
	mutex     sync.Mutex
	upstreams map[string]*upstream
	// pools lists the upstreams of each pool, ordered by id.
	pools map[string][]*upstream
	// shares holds what other entries of the region have sent.
	shares map[hosts.Name]told
	// releases lists the versions of each model that this process has learnt of, the
	// newest last.
	releases map[string][]release
}

// New returns a fleet without upstreams.
func New(o Options) *Fleet {
	return &Fleet{
		options: o, upstreams: make(map[string]*upstream), pools: make(map[string][]*upstream),
		releases: make(map[string][]release), shares: make(map[hosts.Name]told),
	}
}

// ApplySnapshot brings the rows of a snapshot in and returns the addresses at which no
// upstream is left.
func (f *Fleet) ApplySnapshot(now time.Time, s *state.Snapshot) []netip.AddrPort {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	before := f.upstreams
	f.upstreams, f.pools = make(map[string]*upstream, len(before)), make(map[string][]*upstream)
	used := make(map[netip.AddrPort]bool)
	for _, p := range s.Pools() {
		for _, row := range s.Upstreams(p.Name) {
			u := f.renew(before[row.ID], row)
			f.upstreams[row.ID] = u
			f.pools[p.Name] = append(f.pools[p.Name], u)
			used[row.Address] = true
		}
		if p.Engine != nil {
			f.release(now, s, p.Engine)
		}
	}
	f.deal()
	f.sum()
	var gone []netip.AddrPort
	for _, u := range before {
		if !used[u.row.Address] {
			gone = append(gone, u.row.Address)
		}
	}
	return gone
}

// renew keeps what is known of an upstream unless its process has started anew.
func (f *Fleet) renew(known *upstream, row *state.Upstream) *upstream {
	if known == nil || !known.row.SameProcess(row) {
		return &upstream{row: row, answers: make(map[string]versions)}
	}
	if known.row.Draining != row.Draining {
		f.options.Log.Info("upstream-drains", zap.String("upstream", row.ID), zap.Bool("draining", row.Draining))
	}
	known.row = row
	return known
}

func (f *Fleet) release(now time.Time, s *state.Snapshot, e *state.Engine) {
	for _, m := range e.Models {
		r := s.Release(m.Name)
		known := f.releases[m.Name]
		switch {
		case len(known) == 0:
			// It isn't known when a version was released that is there from the
			// start, so that none before it may be served.
			f.releases[m.Name] = []release{{version: r.Version}}
		case known[len(known)-1].version < r.Version:
			f.releases[m.Name] = append(known[max(len(known)-releasesMost+1, 0):], release{version: r.Version, learnt: now})
		}
	}
}

// ReceiveLoadReport takes a digest of an upstream.
func (f *Fleet) ReceiveLoadReport(now time.Time, id string, d LoadReport) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	u := f.upstreams[id]
	if u == nil || u.digest.Serial >= d.Serial && now.Sub(u.heard) < digestLife {
		return
	}
	u.digest, u.heard, u.unseen = d, now, 0
	u.others = max(d.Running-u.running-u.near, 0)
}

// held returns the version of a model that the upstream serves, or zero. It is
// unknownVersion if the upstream serves a later one than it was thought to.
func (u *upstream) held(now time.Time, model string) int {
	all := u.row.Held
	if u.isHeard(now) {
		all = u.digest.Held
	}
	answers := u.answers[model]
	for _, h := range all {
		if h.Model != model || !h.Whole {
			continue
		}
		if v := max(h.Version, answers.seen); v > answers.missed {
			return v
		}
		if now.Sub(answers.declined) < movedPause {
			return 0
		}
		return unknownVersion
	}
	return 0
}

func (u *upstream) isHeard(now time.Time) bool {
	return !u.heard.IsZero() && now.Sub(u.heard) < digestLife
}

// load returns what is at the upstream. The other guests of an engine are taken to have
// sent as much as this one since the last digest, of which nobody has heard yet.
func (u *upstream) load(now time.Time) timing.Load {
	l := timing.Load{Running: u.running + u.near, Unread: u.unread + u.nearUnread, Pace: 1}
	if u.guest {
		l.Running += u.unseen * (u.guests - 1)
	}
	if u.isHeard(now) {
		l.Running += u.others
		l.Pace = u.digest.Pace
	}
	return l
}

// InFlight is a request that was given to an upstream. It ends with End.
type InFlight struct {
	fleet    *Fleet
	upstream *upstream
	// Row is the upstream as it was chosen.
	Row *state.Upstream
	// Version is the version that the engine serves, or zero if it isn't known.
	Version int
	// ExactVersion tells that no other version may answer.
	ExactVersion bool
	// StartDeadline is when the version must not begin any more, or zero.
	StartDeadline time.Time
	// Predicted is the expected time to the first event.
	Predicted time.Duration
	// Running is the number of requests that were at the upstream, with Age the age
	// of what others say of it.
	Running int
	LoadAge time.Duration
	model   string
	prompt  int
	began   time.Time
	first   bool
	ended   bool
}

// begin counts a request that is about to be sent. The mutex is held.
func (f *Fleet) begin(now time.Time, u *upstream, model string, prompt int) *InFlight {
	u.running++
	u.unseen++
	u.unread += prompt
	w := &InFlight{fleet: f, upstream: u, Row: u.row, model: model, prompt: prompt, began: now}
	if u.isHeard(now) {
		w.LoadAge = now.Sub(u.heard)
	}
	return w
}

// RecordVersion records the version by which the upstream answers. Zero means that it isn't
// known.
func (w *InFlight) RecordVersion(version int) {
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	v := w.upstream.answers[w.model]
	v.seen = max(v.seen, version)
	w.upstream.answers[w.model] = v
}

// RecordFirstEvent records that the first byte of the answer has come.
func (w *InFlight) RecordFirstEvent(now time.Time) {
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	if w.first {
		return
	}
	w.first = true
	w.upstream.unread -= w.prompt
	w.upstream.health.RecordSuccess(now, now.Sub(w.began))
}

// Outcome is how a flight ended for the upstream.
type Outcome int

// The outcomes of a flight.
const (
	// OutcomeSuccess is a whole answer.
	OutcomeSuccess Outcome = iota
	// OutcomeNeutral says nothing about the upstream: the caller left, or it was
	// asked for another instance.
	OutcomeNeutral
	// OutcomeConnectFailed is a connection that could not be made.
	OutcomeConnectFailed
	// OutcomeFailed is a lost, broken or failed answer.
	OutcomeFailed
	// OutcomeTimeout is an answer that didn't come in time.
	OutcomeTimeout
	// OutcomeShed is a request that the upstream declined for load.
	OutcomeShed
	// OutcomeMismatch is a request that the upstream declined since it isn't what it
	// was taken for.
	OutcomeMismatch
)

// Finish records how the flight ended.
func (w *InFlight) Finish(now time.Time, o Outcome) {
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	u := w.upstream
	u.running--
	if !w.first {
		u.unread -= w.prompt
	}
	switch o {
	case OutcomeConnectFailed:
		u.health.RecordRefused(now)
	case OutcomeFailed:
		u.health.RecordFailure(now)
	case OutcomeTimeout:
		u.health.RecordTimeout(now, now.Sub(w.began))
	case OutcomeShed:
		u.shed(now)
	case OutcomeMismatch:
		v := u.answers[w.model]
		v.missed, v.declined = max(v.missed, w.Version), now
		u.answers[w.model] = v
	}
}

// shed notes that the engine has no room, whatever the last digest said.
func (u *upstream) shed(now time.Time) {
	if u.row.Slots > 0 && u.isHeard(now) {
		u.others = max(u.others, u.row.Slots-u.running-u.near)
	}
}
