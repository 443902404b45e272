// Package relay replicates the configuration tables and the list of hosts between the
// processes of the fleet, so that only a few of them read the platform.
//
// # State
//
// A State holds what one process has: both tables and the list of hosts, the digests
// of their rows and the recent changes. It builds the replies to other processes that
// lack something, and applies replies of other processes and values of the platform.
// Revisions only increase. It does no I/O and is given the time.
//
// # Topology
//
// A process pulls from a few other processes, its feeds. Which ones they are, and
// which processes read the platform, are functions of the list of hosts: see Topology.
// Each request carries marks, the revisions and digests of the sender. A process that
// receives marks ahead of its own pulls from the sender in turn, so that changes
// travel in both directions.
//
// # Node
//
// A Node runs the goroutines of a process around a State: it pulls from the feeds,
// reads the platform when the topology assigns that to the process, and reads it at a
// limited rate when no other process responds. Its IsCurrent reports whether the
// process may act on what it holds.
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

// KindHosts names the list of hosts, which is replicated as a third table.
const KindHosts tables.Kind = "hosts"

// Event is an entry for the audit trail.
type Event struct {
	Event    audit.Event
	Table    tables.Kind
	Revision uint64
	Cause    string
}

// RosterSetter receives the list of hosts of a process.
type RosterSetter interface {
	// Set replaces the list.
	Set(list hosts.List)
}

// State holds the tables and the list of hosts of one process and replicates them.
// Goroutines share it.
type State struct {
	self   Self
	active *tables.Active
	roster RosterSetter

	mutex  sync.Mutex
	routes *replica[tables.Route]
	pools  *replica[tables.Pool]
	hosts  *replica[hosts.Host]
	// activeHosts is the active list of hosts.
	activeHosts hosts.List
	topology    *Topology
	merger      *hostMerger
	// refusedRevision is the newest refused revision of each table.
	refusedRevision map[tables.Kind]uint64
	// lastReported is the last reported condition of each table; a lasting condition
	// gives one entry in the audit trail.
	lastReported map[tables.Kind]string
	// changedAt is when each table last changed.
	changedAt map[tables.Kind]time.Time
	readiness *readiness
	// changed is closed and replaced when a table changes.
	changed chan struct{}
}

// NewState returns a state without rows for the process self. It activates the tables
// that it applies in active and sets the list of hosts in roster.
func NewState(self Self, active *tables.Active, roster RosterSetter, now time.Time) *State {
	return &State{
		self: self, active: active, roster: roster,
		routes: newReplica(tables.KindRoutes, routeCodec()),
		pools:  newReplica(tables.KindPools, poolCodec()),
		hosts:  newReplica(KindHosts, hostCodec()),
		merger: newHostMerger(), topology: NewTopology(self, hosts.List{}),
		refusedRevision: map[tables.Kind]uint64{}, lastReported: map[tables.Kind]string{},
		changedAt: map[tables.Kind]time.Time{tables.KindRoutes: now, tables.KindPools: now, KindHosts: now},
		readiness: newReadiness(now), changed: make(chan struct{}),
	}
}

// tableReplica is a replica of any table. Where the argument only isn't empty, a
// method covers just the rows that list that host.
type tableReplica interface {
	mark(only hosts.Name) *wire.Mark
	buckets(only hosts.Name) []uint64
	part(m *wire.Mark, only hosts.Name) (*wire.Part, error)
	apply(p *wire.Part) (bool, error)
	isNewer(m *wire.Mark) bool
	needsCompare() bool
	tableKind() tables.Kind
}

func (s *replica[R]) needsCompare() bool { return s.compareNext }

func (s *replica[R]) tableKind() tables.Kind { return s.kind }

func (s *State) isAgent() bool { return s.self.Role == hosts.RoleAgent }

// replicas returns the replicas that a process keeps: an agent has no routes.
func (s *State) replicas(agent bool) []tableReplica {
	if agent {
		return []tableReplica{s.pools, s.hosts}
	}
	return []tableReplica{s.routes, s.pools, s.hosts}
}

func (s *State) replica(kind tables.Kind) tableReplica {
	switch kind {
	case tables.KindRoutes:
		return s.routes
	case tables.KindPools:
		return s.pools
	}
	return s.hosts
}

// Changed returns a channel that is closed at the next change of a table or of the
// list of hosts.
func (s *State) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// List returns the active list of hosts.
func (s *State) List() hosts.List {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.activeHosts
}

// Topology returns the topology that follows from the active list of hosts.
func (s *State) Topology() *Topology {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.topology
}

// Revision returns the revision of a table and the time since it last changed.
func (s *State) Revision(kind tables.Kind, now time.Time) (uint64, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.replica(kind).mark("").Revision, now.Sub(s.changedAt[kind])
}

// Marks returns the revision and digest of each table that the process holds.
func (s *State) Marks() []*wire.Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.marks()
}

func (s *State) marks() []*wire.Mark {
	var all []*wire.Mark
	for _, t := range s.replicas(s.isAgent()) {
		all = append(all, t.mark(""))
	}
	return all
}

// BuildRequest returns a request for what the process lacks. The receiver may hold its
// reply for up to the given time while it has nothing new.
func (s *State) BuildRequest(wait time.Duration) *wire.SyncRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := &wire.SyncRequest{Host: string(s.self.Host), Own: s.isAgent(), Marks: s.marks(), Wait: wait.Milliseconds()}
	for i, t := range s.replicas(s.isAgent()) {
		if t.needsCompare() {
			r.Marks[i].Buckets = t.buckets("")
		}
	}
	return r
}

// BuildReply returns what the sender of the request lacks. It reports whether the
// sender is ahead, so that the process should pull from it.
func (s *State) BuildReply(r *wire.SyncRequest, now time.Time) (*wire.SyncReply, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := &wire.SyncReply{Starting: !s.readiness.ready}
	ahead := false
	marks := marksByTable(r.Marks)
	for _, t := range s.replicas(r.Own) {
		only := onlyHost(r, t.tableKind())
		mine := t.mark(only)
		theirs := marks[mine.Table]
		if theirs == nil {
			theirs = &wire.Mark{Table: mine.Table}
		}
		if r.Own && mine.Table == string(KindHosts) {
			s.raiseHostRevision(theirs, now)
		}
		if p, err := t.part(theirs, only); err == nil && p != nil {
			reply.Parts = append(reply.Parts, p)
		}
		if mine.Revision != theirs.Revision || mine.Sum != theirs.Sum {
			reply.Marks = append(reply.Marks, mine)
			ahead = ahead || !r.Own && !t.isNewer(theirs) && isAhead(theirs, mine)
		}
	}
	return reply, ahead
}

// onlyHost returns the host to which the sender's copy of a table is limited, or an
// empty name.
func onlyHost(r *wire.SyncRequest, kind tables.Kind) hosts.Name {
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

// raiseHostRevision raises the revision of the list of hosts above that of an agent.
// An agent may have raised the revision of its own list while it was cut off from the
// entries.
func (s *State) raiseHostRevision(theirs *wire.Mark, now time.Time) {
	if !s.readiness.ready || s.hosts.revision == 0 || !isAhead(theirs, s.hosts.mark("")) {
		return
	}
	s.hosts.commit(theirs.Revision+1, s.hosts.rows, update{change: change{from: s.hosts.version}, sum: s.hosts.sum})
	s.activate(KindHosts, now)
}

// ApplyReply applies a reply to a request that was sent at the given time, and returns
// the events for the audit trail. Each part is applied as a whole or not at all.
func (s *State) ApplyReply(from hosts.Name, reply *wire.SyncReply, sent, now time.Time) []Event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var events []Event
	comparing := false
	for _, p := range reply.Parts {
		kind := tables.Kind(p.Table)
		t := s.replica(kind)
		changed, err := t.apply(p)
		if err != nil {
			events = append(events, s.reportOnce(Event{Event: audit.EventRefuse, Table: kind, Revision: p.Revision, Cause: "relay of " + string(from) + ": " + err.Error()})...)
		}
		if changed {
			s.activate(kind, now)
			if kind != KindHosts {
				events = append(events, Event{Event: audit.EventAccept, Table: kind, Revision: p.Revision, Cause: "relay of " + string(from)})
			}
		}
		comparing = comparing || t.needsCompare()
	}
	for _, m := range reply.Marks {
		events = append(events, s.reportFork(m, "relay of "+string(from))...)
	}
	if !comparing {
		s.readiness.recordReply(from, reply.Starting, sent, s.topology.otherEntries)
	}
	return events
}

// reportFork reports a table that has two contents under one revision. The active one
// stays until a newer revision arrives.
func (s *State) reportFork(m *wire.Mark, cause string) []Event {
	kind := tables.Kind(m.Table)
	if kind == KindHosts {
		return nil
	}
	mine := s.replica(kind).mark("")
	if mine.Revision != m.Revision || mine.Sum == m.Sum {
		return nil
	}
	return s.reportOnce(Event{Event: audit.EventRefuse, Table: kind, Revision: m.Revision, Cause: "other contents under the revision in force"}, cause)
}

// reportOnce returns the event unless it repeats the last one of its table. The
// details are added to its cause.
func (s *State) reportOnce(e Event, details ...string) []Event {
	text := strconv.FormatUint(e.Revision, 10) + " " + e.Cause
	if s.lastReported[e.Table] == text {
		return nil
	}
	s.lastReported[e.Table] = text
	for _, m := range details {
		e.Cause += ", " + m
	}
	return []Event{e}
}

// activate makes the contents of a replica the active ones of the process and wakes
// those that wait for a change.
func (s *State) activate(kind tables.Kind, now time.Time) {
	switch kind {
	case tables.KindRoutes:
		s.active.SetRoutes(tables.Table[tables.Route]{Revision: tables.Revision(s.routes.revision), Rows: s.routes.rows})
	case tables.KindPools:
		s.active.SetPools(tables.Table[tables.Pool]{Revision: tables.Revision(s.pools.revision), Rows: s.pools.rows})
	case KindHosts:
		all := make([]hosts.Host, 0, len(s.hosts.rows))
		for h := range maps.Values(s.hosts.rows) {
			all = append(all, h)
		}
		s.merger.recordChanges(s.activeHosts, s.hosts.rows, now)
		s.activeHosts = hosts.NewList(all)
		s.topology = NewTopology(s.self, s.activeHosts)
		s.roster.Set(s.activeHosts)
	}
	s.changedAt[kind] = now
	close(s.changed)
	s.changed = make(chan struct{})
}

// Tick records that the goroutines of the process run. It reports whether the process
// has just resumed from a pause.
func (s *State) Tick(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readiness.recordTick(now)
}

// IsCurrent reports whether the process may act on what it holds: it has caught up
// with other processes since it last started or resumed.
func (s *State) IsCurrent(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.readiness.isCurrent(now)
}
