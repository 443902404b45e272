package relay

import (
	"errors"
	"fmt"
	"time"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

const (
	causeService = "configuration service"
	// maxHostEvents is how many changes of hosts at once are recorded one by one.
	maxHostEvents = 16
)

// ApplyValue activates a value of the configuration service if it is newer and valid.
// If the value is refused, the active revision stays. It returns the events for the
// audit trail.
func (s *State) ApplyValue(kind tables.Kind, v tables.Value, now time.Time) []Event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := uint64(v.Revision)
	active := s.replica(kind).mark("").Revision
	if revision < active {
		return s.reportOnce(Event{Event: audit.EventRefuse, Table: kind, Revision: revision, Cause: fmt.Sprintf("older than revision %d in force", active)})
	}
	if revision == s.refusedRevision[kind] || revision == 0 {
		return nil
	}
	var err error
	if kind == tables.KindRoutes {
		err = applyValue(s.routes, v, active, tables.DecodeRoutes, nil)
	} else {
		err = applyValue(s.pools, v, active, tables.DecodePools, s.poolFilter())
	}
	switch {
	case errors.Is(err, errSumMismatch):
		return s.reportOnce(Event{Event: audit.EventRefuse, Table: kind, Revision: revision, Cause: "other contents under the revision in force"}, causeService)
	case err != nil:
		s.refusedRevision[kind] = max(s.refusedRevision[kind], revision)
		return []Event{{Event: audit.EventRefuse, Table: kind, Revision: revision, Cause: err.Error()}}
	case revision == active:
		return nil
	}
	s.activate(kind, now)
	return []Event{{Event: audit.EventAccept, Table: kind, Revision: revision, Cause: causeService}}
}

// poolFilter returns a function that selects the pools that an agent keeps, or nil for
// all.
func (s *State) poolFilter() func(tables.Pool) bool {
	if !s.isAgent() {
		return nil
	}
	return func(p tables.Pool) bool { return p.Has(s.self.Host) }
}

// applyValue replaces the rows of a replica by those of a newer value. If the
// revisions are equal, it only compares the contents and returns errSumMismatch if
// they differ.
func applyValue[R interface {
	row
	tables.Row
}](s *replica[R], v tables.Value, active uint64, decode func([]byte) ([]R, []tables.RowError), keep func(R) bool,
) error {
	decoded, rowErrors := decode(v.Data)
	if len(rowErrors) > 0 {
		return &tables.RefusedError{Table: s.kind, Revision: v.Revision, RowErrors: rowErrors}
	}
	rows := make(map[string]R, len(decoded))
	var sum uint64
	for _, r := range decoded {
		if keep != nil && !keep(r) {
			continue
		}
		rows[r.RowName()] = r
		if uint64(v.Revision) != active {
			continue
		}
		d, err := s.rowDigest(r)
		if err != nil {
			return err
		}
		sum += d
	}
	if uint64(v.Revision) == active {
		if sum != s.sum {
			return errSumMismatch
		}
		return nil
	}
	return s.replace(uint64(v.Revision), rows)
}

// HandledRevision returns the newest revision of a table that needn't be read again:
// the active one, or a newer one that was refused.
func (s *State) HandledRevision(kind tables.Kind) tables.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return tables.Revision(max(s.replica(kind).mark("").Revision, s.refusedRevision[kind]))
}

// MergeHosts merges a list that was read from the platform into the active one. It
// returns the hosts that have been missing for missingTimeout; the caller probes them
// and reports the results with ResolveMissing.
func (s *State) MergeHosts(read []hosts.Host, now time.Time) ([]hosts.Host, []Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	merged, events := s.merger.merge(s.hosts.rows, read, now)
	if len(events) > 0 {
		if err := s.hosts.replace(s.hosts.revision+1, merged); err != nil {
			return nil, []Event{{Event: audit.EventRefuse, Table: KindHosts, Revision: s.hosts.revision, Cause: err.Error()}}
		}
		s.activate(KindHosts, now)
		events = summarize(events, s.hosts.revision)
	}
	return s.merger.overdue(s.hosts.rows, now), events
}

// summarize replaces many events, as after a start, by a single one.
func summarize(events []Event, revision uint64) []Event {
	for i := range events {
		events[i].Revision = revision
	}
	if len(events) <= maxHostEvents {
		return events
	}
	return []Event{{Event: audit.EventHosts, Table: KindHosts, Revision: revision, Cause: fmt.Sprintf("%d hosts changed", len(events))}}
}

// ResolveMissing removes a missing host that doesn't respond, or keeps one that does
// for another missingTimeout.
func (s *State) ResolveMissing(name hosts.Name, responds bool, now time.Time) []Event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h, ok := s.hosts.rows[string(name)]
	if !ok || h.State != hosts.StateMissing {
		return nil
	}
	if responds {
		s.merger.changedAt[name] = now
		return nil
	}
	rows := make(map[string]hosts.Host, len(s.hosts.rows))
	for n, r := range s.hosts.rows {
		if n != string(name) {
			rows[n] = r
		}
	}
	if err := s.hosts.replace(s.hosts.revision+1, rows); err != nil {
		return nil
	}
	s.activate(KindHosts, now)
	return []Event{{Event: audit.EventHosts, Table: KindHosts, Revision: s.hosts.revision, Cause: "host " + string(name) + " dropped: missing and silent"}}
}
