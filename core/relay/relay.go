// Package relay hands the tables and the list of hosts on between the processes
// of the system, so that few of them read the platform.
//
// # State
//
// A State holds what one process has: both tables and the list, the digests of
// their rows and the recent changes. It answers what another process lacks and
// takes in what another process or the platform has. Revisions only go forward.
// It does no I/O and is given the time.
//
// # Paths
//
// Who pulls from whom, and who reads the platform, are functions of the list of
// hosts: see Topology. A process whose marks are
// ahead of those of the process that it asks is asked back, so that changes
// travel both ways.
//
// # Node
//
// A Node runs the duties of a process around a State: it pulls, reads the
// platform when that is its duty, and reads it directly, sparingly, when no
// other process answers. Its Fresh tells whether the process may decide by what
// it holds.
package relay

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

// KindHosts names the list of hosts, which travels as a third table.
const KindHosts tables.Kind = "hosts"

// Event is something for the audit trail.
type Event struct {
	Event    audit.Event
	Table    tables.Kind
	Revision uint64
	Cause    string
}

// RosterSetter takes in the list of hosts of a process.
type RosterSetter interface {
	// Set replaces the list.
	Set(list hosts.List)
}

// State is what one process holds and hands on. Goroutines share it.
type State struct {
	self  Self
	force *tables.Active
	lists RosterSetter

	mutex  sync.Mutex
	routes *replica[tables.Route]
	pools  *replica[tables.Pool]
	list   *replica[hosts.Host]
	// snapshot is the list in force.
	snapshot hosts.List
	topology *Topology
	merge    *merger
	// refused is the newest revision of each table that was refused.
	refused map[tables.Kind]uint64
	// reported holds what each table was last reported for, so that a lasting
	// condition gives one entry.
	reported map[tables.Kind]string
	// changedAt is when each table changedAt last.
	changedAt map[tables.Kind]time.Time
	ready     *readiness
	// changed is closed and replaced when a table changes.
	changed chan struct{}
}

// NewState returns a state without rows that brings what it takes into force
// and into the lists.
func NewState(self Self, force *tables.Active, lists RosterSetter, now time.Time) *State {
	return &State{
		self: self, force: force, lists: lists,
		routes: newReplica(tables.KindRoutes, routeCodec()),
		pools:  newReplica(tables.KindPools, poolCodec()),
		list:   newReplica(KindHosts, hostCodec()),
		merge:  newMerger(), topology: NewTopology(self, hosts.List{}),
		refused: map[tables.Kind]uint64{}, reported: map[tables.Kind]string{},
		changedAt: map[tables.Kind]time.Time{tables.KindRoutes: now, tables.KindPools: now, KindHosts: now},
		ready:     newReadiness(now), changed: make(chan struct{}),
	}
}

// holder is a replica of any table.
type holder interface {
	mark(own hosts.Name) *wire.Mark
	buckets(own hosts.Name) []uint64
	part(m *wire.Mark, own hosts.Name) (*wire.Part, error)
	apply(p *wire.Part) (bool, error)
	isNewer(m *wire.Mark) bool
	comparing() bool
	table() tables.Kind
}

func (s *replica[R]) comparing() bool { return s.compare }

func (s *replica[R]) table() tables.Kind { return s.kind }

func (s *State) own() bool { return s.self.Role == hosts.RoleAgent }

// holders returns the replicas that a process of the role holds.
func (s *State) holders(own bool) []holder {
	if own {
		return []holder{s.pools, s.list}
	}
	return []holder{s.routes, s.pools, s.list}
}

func (s *State) holder(kind tables.Kind) holder {
	switch kind {
	case tables.KindRoutes:
		return s.routes
	case tables.KindPools:
		return s.pools
	}
	return s.list
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// List returns the list of hosts in force.
func (s *State) List() hosts.List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshot
}

// Topology returns what follows from the list of hosts in force.
func (s *State) Topology() *Topology {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.topology
}

// Revision returns the revision of a table and for how long it has stood.
func (s *State) Revision(kind tables.Kind, now time.Time) (uint64, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.holder(kind).mark("").Revision, now.Sub(s.changedAt[kind])
}

// Marks returns what the process holds.
func (s *State) Marks() []*wire.Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.marks()
}

func (s *State) marks() []*wire.Mark {
	var all []*wire.Mark
	for _, h := range s.holders(s.own()) {
		all = append(all, h.mark(""))
	}
	return all
}

// BuildRequest returns a request for what the process lacks. The reply may be held for
// the given time.
func (s *State) BuildRequest(wait time.Duration) *wire.SyncRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := &wire.SyncRequest{Host: string(s.self.Host), Own: s.own(), Marks: s.marks(), Wait: wait.Milliseconds()}
	for i, h := range s.holders(s.own()) {
		if h.comparing() {
			r.Marks[i].Buckets = h.buckets("")
		}
	}
	return r
}

// BuildReply returns what the caller lacks. It reports whether the caller is ahead
// and should be asked back.
func (s *State) BuildReply(r *wire.SyncRequest, now time.Time) (*wire.SyncReply, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := &wire.SyncReply{Starting: !s.ready.ready}
	ahead := false
	marks := marksByTable(r.Marks)
	for _, h := range s.holders(r.Own) {
		own := ownOf(r, h.table())
		mine := h.mark(own)
		theirs := marks[mine.Table]
		if theirs == nil {
			theirs = &wire.Mark{Table: mine.Table}
		}
		if r.Own && mine.Table == string(KindHosts) {
			s.overtake(theirs, now)
		}
		if p, err := h.part(theirs, own); err == nil && p != nil {
			reply.Parts = append(reply.Parts, p)
		}
		if mine.Revision != theirs.Revision || mine.Sum != theirs.Sum {
			reply.Marks = append(reply.Marks, mine)
			ahead = ahead || !r.Own && !h.isNewer(theirs) && isAhead(theirs, mine)
		}
	}
	return reply, ahead
}

// ownOf returns the host whose rows alone the caller holds of a table, or none.
func ownOf(r *wire.SyncRequest, kind tables.Kind) hosts.Name {
	if r.Own && kind == tables.KindPools {
		return hosts.Name(r.Host)
	}
	return ""
}

func isAhead(theirs, mine *wire.Mark) bool {
	return theirs.Revision > mine.Revision || theirs.Table == string(KindHosts) && theirs.Revision == mine.Revision && theirs.Sum > mine.Sum
}

func marksByTable(all []*wire.Mark) map[string]*wire.Mark {
	marks := make(map[string]*wire.Mark, len(all))
	for _, m := range all {
		marks[m.Table] = m
	}
	return marks
}

// overtake raises the revision of the list above that of an agent, which may
// have numbered lists of its own while it was cut off.
func (s *State) overtake(theirs *wire.Mark, now time.Time) {
	if !s.ready.ready || s.list.revision == 0 || !isAhead(theirs, s.list.mark("")) {
		return
	}
	s.list.commit(theirs.Revision+1, s.list.rows, update{change: change{from: s.list.version}, sum: s.list.sum})
	s.publish(KindHosts, now)
}

// ApplyReply brings a reply into force. Each part counts as a whole or not at all.
func (s *State) ApplyReply(from hosts.Name, reply *wire.SyncReply, sent, now time.Time) []Event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var events []Event
	unfinished := false
	for _, p := range reply.Parts {
		kind := tables.Kind(p.Table)
		h := s.holder(kind)
		changed, err := h.apply(p)
		if err != nil {
			events = append(events, s.once(Event{Event: audit.EventRefuse, Table: kind, Revision: p.Revision, Cause: "relay of " + string(from) + ": " + err.Error()})...)
		}
		if changed {
			s.publish(kind, now)
			if kind != KindHosts {
				events = append(events, Event{Event: audit.EventAccept, Table: kind, Revision: p.Revision, Cause: "relay of " + string(from)})
			}
		}
		unfinished = unfinished || h.comparing()
	}
	for _, m := range reply.Marks {
		events = append(events, s.forked(m, "relay of "+string(from))...)
	}
	if !unfinished {
		s.ready.hear(from, reply.Starting, sent, s.topology.known)
	}
	return events
}

// forked reports a table whose revision stands for two contents. The one in
// force stays until a newer revision comes.
func (s *State) forked(m *wire.Mark, cause string) []Event {
	kind := tables.Kind(m.Table)
	if kind == KindHosts {
		return nil
	}
	mine := s.holder(kind).mark("")
	if mine.Revision != m.Revision || mine.Sum == m.Sum {
		return nil
	}
	return s.once(Event{Event: audit.EventRefuse, Table: kind, Revision: m.Revision, Cause: "other contents under the revision in force"}, cause)
}

// once returns the event unless it was the last one of its table.
func (s *State) once(e Event, more ...string) []Event {
	text := strconv.FormatUint(e.Revision, 10) + " " + e.Cause
	if s.reported[e.Table] == text {
		return nil
	}
	s.reported[e.Table] = text
	for _, m := range more {
		e.Cause += ", " + m
	}
	return []Event{e}
}

// publish brings what a replica holds into force.
func (s *State) publish(kind tables.Kind, now time.Time) {
	switch kind {
	case tables.KindRoutes:
		s.force.SetRoutes(tables.Table[tables.Route]{Revision: tables.Revision(s.routes.revision), Rows: s.routes.rows})
	case tables.KindPools:
		s.force.SetPools(tables.Table[tables.Pool]{Revision: tables.Revision(s.pools.revision), Rows: s.pools.rows})
	case KindHosts:
		all := make([]hosts.Host, 0, len(s.list.rows))
		for h := range maps.Values(s.list.rows) {
			all = append(all, h)
		}
		s.merge.observe(s.snapshot, s.list.rows, now)
		s.snapshot = hosts.NewList(all)
		s.topology = NewTopology(s.self, s.snapshot)
		s.lists.Set(s.snapshot)
	}
	s.changedAt[kind] = now
	close(s.changed)
	s.changed = make(chan struct{})
}

// Tick records that the duties of the process run. It reports whether the
// process has just woken from a pause.
func (s *State) Tick(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ready.advance(now)
}

// IsCurrent reports whether the process may decide by what it holds: it has caught
// up with others since it started or woke last.
func (s *State) IsCurrent(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ready.fresh(now)
}
