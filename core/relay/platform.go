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
	// eventLimit is how many changes of hosts are recorded one by one.
	eventLimit = 16
)

// ApplyValue brings a value of the configuration service into force if it is newer
// and valid. A refused revision leaves the one in force.
func (s *State) ApplyValue(kind tables.Kind, v tables.Value, now time.Time) []Event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	revision := uint64(v.Revision)
	held := s.holder(kind).mark("").Revision
	if revision < held {
		return s.once(Event{Event: audit.EventRefuse, Table: kind, Revision: revision, Cause: fmt.Sprintf("older than revision %d in force", held)})
	}
	if revision == s.refused[kind] || revision == 0 {
		return nil
	}
	var err error
	if kind == tables.KindRoutes {
		err = offer(s.routes, v, held, tables.DecodeRoutes, nil)
	} else {
		err = offer(s.pools, v, held, tables.DecodePools, s.concerns())
	}
	switch {
	case errors.Is(err, errSum):
		return s.once(Event{Event: audit.EventRefuse, Table: kind, Revision: revision, Cause: "other contents under the revision in force"}, causeService)
	case err != nil:
		s.refused[kind] = max(s.refused[kind], revision)
		return []Event{{Event: audit.EventRefuse, Table: kind, Revision: revision, Cause: err.Error()}}
	case revision == held:
		return nil
	}
	s.publish(kind, now)
	return []Event{{Event: audit.EventAccept, Table: kind, Revision: revision, Cause: causeService}}
}

// concerns returns which pools an agent holds, or nil for all.
func (s *State) concerns() func(tables.Pool) bool {
	if !s.own() {
		return nil
	}
	return func(p tables.Pool) bool { return p.Has(s.self.Host) }
}

// offer replaces the rows of a replica by those of a newer value. Equal revisions
// are compared and give errSum if they differ.
func offer[R interface {
	row
	tables.Row
}](s *replica[R], v tables.Value, held uint64, decode func([]byte) ([]R, []tables.RowError), keep func(R) bool,
) error {
	decoded, faults := decode(v.Data)
	if len(faults) > 0 {
		return &tables.RefusedError{Table: s.kind, Revision: v.Revision, RowErrors: faults}
	}
	rows := make(map[string]R, len(decoded))
	var sum uint64
	for _, r := range decoded {
		if keep != nil && !keep(r) {
			continue
		}
		rows[r.RowName()] = r
		if uint64(v.Revision) != held {
			continue
		}
		d, err := s.digest(r)
		if err != nil {
			return err
		}
		sum += d
	}
	if uint64(v.Revision) == held {
		if sum != s.sum {
			return errSum
		}
		return nil
	}
	return s.replace(uint64(v.Revision), rows)
}

// HandledRevision returns the newest revision of a table that need not be read again: the
// one in force or a newer one that was refused.
func (s *State) HandledRevision(kind tables.Kind) tables.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return tables.Revision(max(s.holder(kind).mark("").Revision, s.refused[kind]))
}

// MergeHosts merges a list that was read from the platform into the one in
// force. It returns the hosts that have been missing for long: the caller tells
// by Drop which of them don't answer.
func (s *State) MergeHosts(read []hosts.Host, now time.Time) ([]hosts.Host, []Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	merged, events := s.merge.merge(s.list.rows, read, now)
	if len(events) > 0 {
		if err := s.list.replace(s.list.revision+1, merged); err != nil {
			return nil, []Event{{Event: audit.EventRefuse, Table: KindHosts, Revision: s.list.revision, Cause: err.Error()}}
		}
		s.publish(KindHosts, now)
		events = summarized(events, s.list.revision)
	}
	return s.merge.overdue(s.list.rows, now), events
}

// summarized returns one event in place of many, as after a start.
func summarized(events []Event, revision uint64) []Event {
	for i := range events {
		events[i].Revision = revision
	}
	if len(events) <= eventLimit {
		return events
	}
	return []Event{{Event: audit.EventHosts, Table: KindHosts, Revision: revision, Cause: fmt.Sprintf("%d hosts changed", len(events))}}
}

// ResolveMissing removes a missing host that doesn't answer, or keeps one that does for
// another while.
func (s *State) ResolveMissing(name hosts.Name, answers bool, now time.Time) []Event {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h, ok := s.list.rows[string(name)]
	if !ok || h.State != hosts.StateMissing {
		return nil
	}
	if answers {
		s.merge.changed[name] = now
		return nil
	}
	rows := make(map[string]hosts.Host, len(s.list.rows))
	for n, r := range s.list.rows {
		if n != string(name) {
			rows[n] = r
		}
	}
	if err := s.list.replace(s.list.revision+1, rows); err != nil {
		return nil
	}
	s.publish(KindHosts, now)
	return []Event{{Event: audit.EventHosts, Table: KindHosts, Revision: s.list.revision, Cause: "host " + string(name) + " dropped: missing and silent"}}
}
