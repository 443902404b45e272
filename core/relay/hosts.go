package relay

import (
	"maps"
	"time"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
)

const (
	// settleTime is how long a row of the list stands before a reading that
	// may lag changes it again.
	settleTime = 10 * time.Second
	// graceTime is how long a host that the platform no longer lists is kept.
	graceTime = 2 * time.Minute
)

// merger merges readings of the platform's list, which lags and has gaps, into
// the list in force. It does no I/O.
type merger struct {
	// changed is when each row changed last, as far as the process saw it.
	changed map[hosts.Name]time.Time
	// returned is when each host went from leaving to live.
	returned map[hosts.Name]time.Time
}

func newMerger() *merger {
	return &merger{changed: map[hosts.Name]time.Time{}, returned: map[hosts.Name]time.Time{}}
}

// observe records which rows of the list in force have changed.
func (m *merger) observe(before hosts.List, after map[string]hosts.Host, now time.Time) {
	for name, h := range after {
		old, ok := before.Find(hosts.Name(name))
		if ok && old == h {
			continue
		}
		if ok && old.State == hosts.StateLeaving && h.State == hosts.StateLive {
			m.returned[h.Name] = now
		}
		if ok {
			m.changed[h.Name] = now
		}
	}
	for _, h := range before.All() {
		if _, ok := after[string(h.Name)]; !ok {
			delete(m.changed, h.Name)
			delete(m.returned, h.Name)
		}
	}
}

// merge returns the list in force with the changes that a reading shows, and an
// event for each. A host that begins to leave counts at once; other changes of
// a row wait until it has settled, and a host that isn't listed any more is
// marked missing.
func (m *merger) merge(force map[string]hosts.Host, read []hosts.Host, now time.Time) (map[string]hosts.Host, []Event) {
	merged := maps.Clone(force)
	listed := make(map[hosts.Name]bool, len(read))
	var events []Event
	for _, h := range read {
		if listed[h.Name] {
			continue
		}
		listed[h.Name] = true
		old, ok := force[string(h.Name)]
		if ok && (old == h || !m.mayChange(old, h, now)) {
			continue
		}
		merged[string(h.Name)] = h
		events = append(events, eventOf(h))
	}
	for name, h := range force {
		if listed[h.Name] || h.State == hosts.StateMissing || !m.isSettled(m.changed, h.Name, now) {
			continue
		}
		if h.State == hosts.StateLive {
			h.State = hosts.StateMissing
			merged[name] = h
		} else {
			delete(merged, name)
		}
		events = append(events, eventOf(h))
	}
	return merged, events
}

func eventOf(h hosts.Host) Event {
	return Event{Event: audit.EventHosts, Table: KindHosts, Cause: "host " + string(h.Name) + " " + string(h.State)}
}

func (m *merger) mayChange(old, read hosts.Host, now time.Time) bool {
	if old.State == hosts.StateMissing {
		return true
	}
	if read.State == hosts.StateLeaving {
		return m.isSettled(m.returned, old.Name, now)
	}
	return m.isSettled(m.changed, old.Name, now)
}

func (m *merger) isSettled(times map[hosts.Name]time.Time, name hosts.Name, now time.Time) bool {
	at, ok := times[name]
	return !ok || now.Sub(at) >= settleTime
}

// overdue returns the hosts that have been missing for graceTime.
func (m *merger) overdue(force map[string]hosts.Host, now time.Time) []hosts.Host {
	var late []hosts.Host
	for _, h := range force {
		if h.State != hosts.StateMissing {
			continue
		}
		at, ok := m.changed[h.Name]
		if !ok {
			m.changed[h.Name] = now
			continue
		}
		if now.Sub(at) >= graceTime {
			late = append(late, h)
		}
	}
	return late
}
