package relay

import (
	"maps"
	"time"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
)

const (
	// minChangeInterval is the minimum age of a row before a read of the platform,
	// which may lag, changes it again.
	minChangeInterval = 10 * time.Second
	// missingTimeout is how long a host that the platform no longer lists is kept.
	missingTimeout = 2 * time.Minute
)

// hostMerger merges lists that were read from the platform, which may lag or be
// incomplete, into the active list of hosts. It does no I/O.
type hostMerger struct {
	// changedAt is when the process last observed a change of each row.
	changedAt map[hosts.Name]time.Time
	// returnedAt is when each host went from leaving to live.
	returnedAt map[hosts.Name]time.Time
}

func newHostMerger() *hostMerger {
	return &hostMerger{changedAt: map[hosts.Name]time.Time{}, returnedAt: map[hosts.Name]time.Time{}}
}

// recordChanges records which rows of the active list have changed.
func (m *hostMerger) recordChanges(before hosts.List, after map[string]hosts.Host, now time.Time) {
	for name, h := range after {
		old, ok := before.Find(hosts.Name(name))
		if ok && old == h {
			continue
		}
		if ok && old.State == hosts.StateLeaving && h.State == hosts.StateLive {
			m.returnedAt[h.Name] = now
		}
		if ok {
			m.changedAt[h.Name] = now
		}
	}
	for _, h := range before.All() {
		if _, ok := after[string(h.Name)]; !ok {
			delete(m.changedAt, h.Name)
			delete(m.returnedAt, h.Name)
		}
	}
}

// merge returns the active list with the changes that a read shows, and an event for
// each. A host that starts to leave is updated at once; other changes of a row are
// accepted once its last change is minChangeInterval old. A live host that isn't
// listed any more is marked missing.
func (m *hostMerger) merge(active map[string]hosts.Host, read []hosts.Host, now time.Time) (map[string]hosts.Host, []Event) {
	merged := maps.Clone(active)
	listed := make(map[hosts.Name]bool, len(read))
	var events []Event
	for _, h := range read {
		if listed[h.Name] {
			continue
		}
		listed[h.Name] = true
		old, ok := active[string(h.Name)]
		if ok && (old == h || !m.canChange(old, h, now)) {
			continue
		}
		merged[string(h.Name)] = h
		events = append(events, eventOf(h))
	}
	for name, h := range active {
		if listed[h.Name] || h.State == hosts.StateMissing || !m.hasSettled(m.changedAt, h.Name, now) {
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

// canChange reports whether a read that differs from the active row may replace it.
func (m *hostMerger) canChange(old, read hosts.Host, now time.Time) bool {
	if old.State == hosts.StateMissing {
		return true
	}
	if read.State == hosts.StateLeaving {
		return m.hasSettled(m.returnedAt, old.Name, now)
	}
	return m.hasSettled(m.changedAt, old.Name, now)
}

func (m *hostMerger) hasSettled(times map[hosts.Name]time.Time, name hosts.Name, now time.Time) bool {
	at, ok := times[name]
	return !ok || now.Sub(at) >= minChangeInterval
}

// overdue returns the hosts that have been missing for missingTimeout.
func (m *hostMerger) overdue(active map[string]hosts.Host, now time.Time) []hosts.Host {
	var expired []hosts.Host
	for _, h := range active {
		if h.State != hosts.StateMissing {
			continue
		}
		at, ok := m.changedAt[h.Name]
		if !ok {
			m.changedAt[h.Name] = now
			continue
		}
		if now.Sub(at) >= missingTimeout {
			expired = append(expired, h)
		}
	}
	return expired
}
