package poison

import (
	"encoding/hex"
	"sync"
	"time"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/wire"
)

// SharedRegistry is a Registry that is safe for concurrent use and writes its changes to the
// audit trail.
type SharedRegistry struct {
	trail    *audit.Trail
	mutex    sync.Mutex
	registry Registry
}

// NewSharedRegistry returns an empty registry.
func NewSharedRegistry(trail *audit.Trail) *SharedRegistry { return &SharedRegistry{trail: trail} }

// Evaluate returns the status of a request, and for StatusQuarantined the time that remains
// until it ends.
func (s *SharedRegistry) Evaluate(f Fingerprint) (Status, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	status, until := s.registry.Evaluate(now, f)
	if status != StatusQuarantined {
		return status, 0
	}
	return status, until.Sub(now)
}

// RecordLoss records a lost run and returns its mark.
func (s *SharedRegistry) RecordLoss(f Fingerprint, lossID calls.ID) Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := s.registry.RecordLoss(time.Now(), f, lossID)
	s.audit([]Mark{m}, "the upstream was lost while the request ran")
	return m
}

// Clear records that a suspect has run alone to completion and returns the marks that this
// clears.
func (s *SharedRegistry) Clear(f Fingerprint) []Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cleared := s.registry.Clear(time.Now(), f)
	s.audit(cleared, "the request has run alone to its end")
	return cleared
}

// Merge adds marks of another process, which from names, and returns those that changed the
// registry.
func (s *SharedRegistry) Merge(all []Mark, from string) []Mark {
	if len(all) == 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	added := s.registry.Merge(time.Now(), all...)
	s.audit(added, "told by "+from)
	return added
}

// MarksOf returns the marks of a request that have not expired.
func (s *SharedRegistry) MarksOf(f Fingerprint) []Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registry.MarksOf(time.Now(), f)
}

// ActiveMarks returns the marks that have not expired, ordered by expiry.
func (s *SharedRegistry) ActiveMarks() []Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registry.ActiveMarks(time.Now())
}

// Report implements manage.Reporter. It adds a fact for each mark that isn't cleared.
func (s *SharedRegistry) Report(status *wire.StatusReply) {
	for _, m := range s.ActiveMarks() {
		if m.Cleared {
			continue
		}
		current, _ := s.Evaluate(m.Fingerprint)
		status.Facts = append(status.Facts, &wire.Fact{Name: statusNames[current], Value: hex.EncodeToString(m.Fingerprint[:])})
	}
}

var statusNames = map[Status]string{StatusClear: "cleared", StatusSuspect: "suspect", StatusQuarantined: "quarantined"}

func (s *SharedRegistry) audit(all []Mark, cause string) {
	for _, m := range all {
		status, _ := s.registry.Evaluate(time.Now(), m.Fingerprint)
		s.trail.Add(audit.EventQuarantine, hex.EncodeToString(m.Fingerprint[:]), cause,
			audit.Field{Name: "state", Value: statusNames[status]}, audit.Field{Name: "loss", Value: string(m.LossID)})
	}
}

// Encode converts marks to messages.
func Encode(all []Mark) []*wire.BlameMark {
	var messages []*wire.BlameMark
	for _, m := range all {
		messages = append(messages, &wire.BlameMark{
			Fingerprint: m.Fingerprint[:], Attempt: string(m.LossID), Left: time.Until(m.ExpiresAt).Milliseconds(), Cleared: m.Cleared,
		})
	}
	return messages
}

// Decode converts messages to marks. Malformed messages are skipped.
func Decode(messages []*wire.BlameMark) []Mark {
	var all []Mark
	for _, b := range messages {
		m := Mark{LossID: calls.ID(b.Attempt), ExpiresAt: time.Now().Add(time.Duration(b.Left) * time.Millisecond), Cleared: b.Cleared}
		if copy(m.Fingerprint[:], b.Fingerprint) == len(m.Fingerprint) && b.Attempt != "" {
			all = append(all, m)
		}
	}
	return all
}
