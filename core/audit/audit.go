// Package audit records the audit trail of a process.
//
// Each entry is written to the log, marked audit=true, and kept in a bounded trail that
// the administration interface reads.
package audit

import (
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Event is a kind of audited change.
type Event string

// The events of the trail.
const (
	EventStart      Event = "start"
	EventStop       Event = "stop"
	EventAccept     Event = "revision-accepted"
	EventRefuse     Event = "revision-refused"
	EventRollout    Event = "rollout"
	EventOrder      Event = "order"
	EventQuarantine Event = "quarantine"
	EventDrain      Event = "drain"
	EventHosts      Event = "hosts"
)

// Entry is one change. Subject and Cause are never empty.
type Entry struct {
	// Serial counts the entries of the process from one.
	Serial  uint64
	Time    time.Time
	Event   Event
	Subject string
	Cause   string
	// Fields are additional facts about the change.
	Fields []Field
}

// Field is one fact about a change.
type Field struct {
	Name  string
	Value string
}

// maxTrailEntries bounds the entries kept in memory.
const maxTrailEntries = 1024

// Trail is the bounded trail of one process. It is safe for concurrent use.
type Trail struct {
	log   *zap.Logger
	mutex sync.Mutex
	// entries is a ring of the newest entries. The entry with serial n is at index
	// (n-1) % maxTrailEntries.
	entries []Entry
	serial  uint64
}

// NewTrail returns an empty trail that also writes to the log.
func NewTrail(log *zap.Logger) *Trail { return &Trail{log: log} }

// Add appends an entry and logs it.
func (t *Trail) Add(event Event, subject, cause string, fields ...Field) {
	t.logEntry(event, subject, cause, fields)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.serial++
	e := Entry{Serial: t.serial, Time: time.Now(), Event: event, Subject: subject, Cause: cause, Fields: fields}
	if len(t.entries) < maxTrailEntries {
		t.entries = append(t.entries, e)
		return
	}
	t.entries[(e.Serial-1)%maxTrailEntries] = e
}

// After returns the kept entries with a greater serial than the given one, oldest
// first.
func (t *Trail) After(serial uint64) []Entry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	serial = max(serial, t.serial-uint64(len(t.entries)))
	var after []Entry
	for s := serial; s < t.serial; s++ {
		after = append(after, t.entries[s%maxTrailEntries])
	}
	return after
}

func (t *Trail) logEntry(event Event, subject, cause string, fields []Field) {
	all := []zap.Field{zap.Bool("audit", true), zap.String("subject", subject), zap.String("cause", cause)}
	for _, f := range fields {
		all = append(all, zap.String(f.Name, f.Value))
	}
	t.log.Info(string(event), all...)
}

// Revision returns the field for the revision of a table.
func Revision(revision uint64) Field {
	return Field{Name: "revision", Value: strconv.FormatUint(revision, 10)}
}
