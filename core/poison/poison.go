// Package poison detects poison requests: those that crash the upstreams which run them.
//
// # Suspects
//
// A request whose run ended with the loss of its upstream is a suspect, and so is every other
// request that ran there. A suspect runs alone, so that its next run shows whether it caused
// the crash: if that run completes, the suspect is cleared; if the upstream is lost again, the
// request is quarantined and refused at once. A poison request thus costs at most CrashLimit
// upstreams, and any other suspect costs its client one more attempt.
//
// # Propagation
//
// A Mark stands for one lost upstream and a request that ran there, however often it ran.
// Processes exchange marks. Marks merge in any order: a cleared mark stays cleared, and each
// mark expires.
//
// # Parts
//
// Registry holds the marks and does no I/O. SharedRegistry is safe for concurrent use and
// writes changes to the audit trail. Broadcaster sends new marks to the entries.
package poison

import (
	"cmp"
	"slices"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
)

// CrashLimit is the number of lost runs after which a request is refused.
const CrashLimit = 2

// MarkDelay is how long a suspect waits before it is sent and again before it runs. Meanwhile the
// marks of other attempts that were lost at the same moment arrive: a few round trips between
// regions.
const MarkDelay = 100 * time.Millisecond

const (
	markTTL  = 10 * time.Minute
	maxMarks = 4096
)

// Fingerprint identifies a request across its retries.
type Fingerprint dedup.Digest

// FingerprintOf returns the fingerprint of a request. The idempotency key isn't part of it,
// since a client may send the same request with another key.
func FingerprintOf(r calls.Request) Fingerprint {
	return Fingerprint(dedup.DigestOf(r.Workspace, r.Route, r.Media, r.Body))
}

// Mark is one lost run of a request.
type Mark struct {
	Fingerprint Fingerprint
	// LossID identifies the loss of the upstream. All requests that ran there share it.
	LossID calls.ID
	// ExpiresAt is when the mark expires.
	ExpiresAt time.Time
	// Cleared is set once the request has run alone to completion.
	Cleared bool
}

// Status says how a request may run.
type Status int

// The statuses of a request.
const (
	// StatusClear allows the request to run concurrently with others.
	StatusClear Status = iota
	// StatusSuspect allows the request to run only while no other request runs.
	StatusSuspect
	// StatusQuarantined forbids the request to run.
	StatusQuarantined
)

// Registry holds the crash marks that a process knows. The zero value is empty and ready to
// use. It isn't safe for concurrent use.
type Registry struct {
	// marks holds at most maxMarks, by fingerprint and loss ID.
	marks map[Fingerprint]map[calls.ID]Mark
	count int
	// nextExpiry is no later than the earliest expiry of a mark.
	nextExpiry time.Time
}

// RecordLoss records a lost run and returns its mark.
func (r *Registry) RecordLoss(now time.Time, f Fingerprint, lossID calls.ID) Mark {
	m := Mark{Fingerprint: f, LossID: lossID, ExpiresAt: now.Add(markTTL)}
	r.Merge(now, m)
	return m
}

// Clear records that a suspect has run alone to completion and returns the marks that this
// clears.
func (r *Registry) Clear(now time.Time, f Fingerprint) []Mark {
	var cleared []Mark
	for _, m := range r.marks[f] {
		if m.Cleared {
			continue
		}
		m.Cleared = true
		r.Merge(now, m)
		cleared = append(cleared, m)
	}
	return cleared
}

// Merge adds marks of other processes and returns those that changed the registry. The
// remaining life of a mark is limited to markTTL, and new marks are dropped when the registry
// is full.
func (r *Registry) Merge(now time.Time, all ...Mark) []Mark {
	r.expire(now)
	var added []Mark
	for _, m := range all {
		known, exists := r.marks[m.Fingerprint][m.LossID]
		latest := now.Add(markTTL)
		if m.ExpiresAt.After(latest) {
			m.ExpiresAt = latest
		}
		if !now.Before(m.ExpiresAt) || exists && (known.Cleared || !m.Cleared) || !exists && r.count >= maxMarks {
			continue
		}
		r.put(m, exists)
		added = append(added, m)
	}
	return added
}

func (r *Registry) put(m Mark, exists bool) {
	if r.marks == nil {
		r.marks = make(map[Fingerprint]map[calls.ID]Mark)
	}
	if r.marks[m.Fingerprint] == nil {
		r.marks[m.Fingerprint] = make(map[calls.ID]Mark)
	}
	if !exists {
		r.count++
	}
	if r.nextExpiry.IsZero() || m.ExpiresAt.Before(r.nextExpiry) {
		r.nextExpiry = m.ExpiresAt
	}
	r.marks[m.Fingerprint][m.LossID] = m
}

// Evaluate returns the status of a request, and for StatusQuarantined when it ends.
func (r *Registry) Evaluate(now time.Time, f Fingerprint) (Status, time.Time) {
	losses, until := 0, time.Time{}
	for _, m := range r.marks[f] {
		if m.Cleared || !now.Before(m.ExpiresAt) {
			continue
		}
		losses++
		if until.IsZero() || m.ExpiresAt.Before(until) {
			until = m.ExpiresAt
		}
	}
	switch {
	case losses >= CrashLimit:
		return StatusQuarantined, until
	case losses > 0:
		return StatusSuspect, time.Time{}
	}
	return StatusClear, time.Time{}
}

// MarksOf returns the marks of a request that have not expired.
func (r *Registry) MarksOf(now time.Time, f Fingerprint) []Mark {
	var all []Mark
	for _, m := range r.marks[f] {
		if now.Before(m.ExpiresAt) {
			all = append(all, m)
		}
	}
	return all
}

// ActiveMarks returns the marks that have not expired, ordered by expiry.
func (r *Registry) ActiveMarks(now time.Time) []Mark {
	r.expire(now)
	all := make([]Mark, 0, r.count)
	for _, losses := range r.marks {
		for _, m := range losses {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, compareMarks)
	return all
}

func compareMarks(a, b Mark) int {
	return cmp.Or(a.ExpiresAt.Compare(b.ExpiresAt), cmp.Compare(a.LossID, b.LossID))
}

func (r *Registry) expire(now time.Time) {
	if now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = time.Time{}
	for f, losses := range r.marks {
		for id, m := range losses {
			if !now.Before(m.ExpiresAt) {
				delete(losses, id)
				r.count--
				continue
			}
			if r.nextExpiry.IsZero() || m.ExpiresAt.Before(r.nextExpiry) {
				r.nextExpiry = m.ExpiresAt
			}
		}
		if len(losses) == 0 {
			delete(r.marks, f)
		}
	}
}
