// Package blame finds the requests that crash the upstreams which run them. It
// does no I/O.
//
// # Suspects
//
// A request whose run ended with the loss of its upstream is a suspect, and so
// is every other request that ran there. A suspect runs alone, so that its next
// run tells whether it is to blame: if that run ends, the suspect is cleared; if
// the upstream is lost again, the request is quarantined and refused at once.
// A request thus costs at most CrashLimit upstreams, and one that is not to
// blame costs its caller one more try.
//
// # Spreading
//
// A Mark stands for one lost upstream and a request that ran there, however often.
// Marks are handed on between processes and
// merge in any order: a cleared mark stays cleared, and each expires.
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

const (
	lifetime = 10 * time.Minute
	maxMarks = 4096
)

// Fingerprint identifies a request through all its resends.
type Fingerprint dedup.Digest

// FingerprintOf returns the fingerprint of a request. The key doesn't count: a
// caller may send the same request with another one.
func FingerprintOf(r calls.Request) Fingerprint {
	return Fingerprint(dedup.DigestOf(r.Workspace, r.Route, r.Media, r.Body))
}

// Mark is one lost run of a request.
type Mark struct {
	Fingerprint Fingerprint
	// LossID identifies the loss of the upstream. It is one for all that ran there.
	LossID calls.ID
	// ExpiresAt is when the mark expires.
	ExpiresAt time.Time
	// Cleared tells that the request has run alone since, and to its end.
	Cleared bool
}

// Status says how a request may run.
type Status int

// The verdicts on a request.
const (
	// StatusClear lets the request run beside others.
	StatusClear Status = iota
	// StatusSuspect lets the request run while no other does.
	StatusSuspect
	// StatusQuarantined doesn't let the request run.
	StatusQuarantined
)

// Registry holds the marks that a process knows. The zero value holds none. It isn't
// safe for concurrent use.
type Registry struct {
	// marks holds at most maxMarks, by fingerprint and loss.
	marks map[Fingerprint]map[calls.ID]Mark
	count int
	// next is no later than the first expiry.
	next time.Time
}

// RecordLoss records a lost run and returns its mark.
func (b *Registry) RecordLoss(now time.Time, f Fingerprint, loss calls.ID) Mark {
	m := Mark{Fingerprint: f, LossID: loss, ExpiresAt: now.Add(lifetime)}
	b.Merge(now, m)
	return m
}

// Clear records that a suspect has run alone to its end and returns the marks
// that this clears.
func (b *Registry) Clear(now time.Time, f Fingerprint) []Mark {
	var cleared []Mark
	for _, m := range b.marks[f] {
		if m.Cleared {
			continue
		}
		m.Cleared = true
		b.Merge(now, m)
		cleared = append(cleared, m)
	}
	return cleared
}

// Merge takes marks of other processes and returns those that were news.
func (b *Registry) Merge(now time.Time, all ...Mark) []Mark {
	b.expire(now)
	var news []Mark
	for _, m := range all {
		known, seen := b.marks[m.Fingerprint][m.LossID]
		latest := now.Add(lifetime)
		if m.ExpiresAt.After(latest) {
			m.ExpiresAt = latest
		}
		if !now.Before(m.ExpiresAt) || seen && (known.Cleared || !m.Cleared) || !seen && b.count >= maxMarks {
			continue
		}
		b.put(m, seen)
		news = append(news, m)
	}
	return news
}

func (b *Registry) put(m Mark, seen bool) {
	if b.marks == nil {
		b.marks = make(map[Fingerprint]map[calls.ID]Mark)
	}
	if b.marks[m.Fingerprint] == nil {
		b.marks[m.Fingerprint] = make(map[calls.ID]Mark)
	}
	if !seen {
		b.count++
	}
	if b.next.IsZero() || m.ExpiresAt.Before(b.next) {
		b.next = m.ExpiresAt
	}
	b.marks[m.Fingerprint][m.LossID] = m
}

// Evaluate returns how a request may run, and for VerdictRefuse until when it may
// not.
func (b *Registry) Evaluate(now time.Time, f Fingerprint) (Status, time.Time) {
	lost, until := 0, time.Time{}
	for _, m := range b.marks[f] {
		if m.Cleared || !now.Before(m.ExpiresAt) {
			continue
		}
		lost++
		if until.IsZero() || m.ExpiresAt.Before(until) {
			until = m.ExpiresAt
		}
	}
	switch {
	case lost >= CrashLimit:
		return StatusQuarantined, until
	case lost > 0:
		return StatusSuspect, time.Time{}
	}
	return StatusClear, time.Time{}
}

// MarksOf returns the marks of a request in force.
func (b *Registry) MarksOf(now time.Time, f Fingerprint) []Mark {
	var all []Mark
	for _, m := range b.marks[f] {
		if now.Before(m.ExpiresAt) {
			all = append(all, m)
		}
	}
	return all
}

// ActiveMarks returns the marks in force, ordered by expiry.
func (b *Registry) ActiveMarks(now time.Time) []Mark {
	b.expire(now)
	all := make([]Mark, 0, b.count)
	for _, of := range b.marks {
		for _, m := range of {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, compareMarks)
	return all
}

func compareMarks(a, b Mark) int {
	return cmp.Or(a.ExpiresAt.Compare(b.ExpiresAt), cmp.Compare(a.LossID, b.LossID))
}

func (b *Registry) expire(now time.Time) {
	if now.Before(b.next) {
		return
	}
	b.next = time.Time{}
	for f, of := range b.marks {
		for id, m := range of {
			if !now.Before(m.ExpiresAt) {
				delete(of, id)
				b.count--
				continue
			}
			if b.next.IsZero() || m.ExpiresAt.Before(b.next) {
				b.next = m.ExpiresAt
			}
		}
		if len(of) == 0 {
			delete(b.marks, f)
		}
	}
}
