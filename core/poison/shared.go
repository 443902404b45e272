package poison

import (
	"encoding/hex"
	"sync"
	"time"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/wire"
)

// SharedRegistry is a Book that goroutines share and whose changes are audited.
type SharedRegistry struct {
	trail *audit.Trail
	mutex sync.Mutex
	book  Registry
}

// NewSharedRegistry returns a book without marks.
func NewSharedRegistry(trail *audit.Trail) *SharedRegistry { return &SharedRegistry{trail: trail} }

// Evaluate returns how a request may run, and for VerdictRefuse for how long it may
// not.
func (s *SharedRegistry) Evaluate(f Fingerprint) (Status, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	v, until := s.book.Evaluate(now, f)
	if v != StatusQuarantined {
		return v, 0
	}
	return v, until.Sub(now)
}

// RecordLoss records a lost run and returns its mark.
func (s *SharedRegistry) RecordLoss(f Fingerprint, loss calls.ID) Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := s.book.RecordLoss(time.Now(), f, loss)
	s.audit([]Mark{m}, "the upstream was lost while the request ran")
	return m
}

// Clear records that a suspect has run alone to its end.
func (s *SharedRegistry) Clear(f Fingerprint) []Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cleared := s.book.Clear(time.Now(), f)
	s.audit(cleared, "the request has run alone to its end")
	return cleared
}

// Merge takes marks of another process and returns those that were news.
func (s *SharedRegistry) Merge(all []Mark, from string) []Mark {
	if len(all) == 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	news := s.book.Merge(time.Now(), all...)
	s.audit(news, "told by "+from)
	return news
}

// MarksOf returns the marks of a request in force.
func (s *SharedRegistry) MarksOf(f Fingerprint) []Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.book.MarksOf(time.Now(), f)
}

// ActiveMarks returns the marks in force.
func (s *SharedRegistry) ActiveMarks() []Mark {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.book.ActiveMarks(time.Now())
}

// Report implements manage.Reporter.
func (s *SharedRegistry) Report(status *wire.StatusReply) {
	for _, m := range s.ActiveMarks() {
		if m.Cleared {
			continue
		}
		v, _ := s.Evaluate(m.Fingerprint)
		status.Facts = append(status.Facts, &wire.Fact{Name: verdictNames[v], Value: hex.EncodeToString(m.Fingerprint[:])})
	}
}

var verdictNames = map[Status]string{StatusClear: "cleared", StatusSuspect: "suspect", StatusQuarantined: "quarantined"}

func (s *SharedRegistry) audit(all []Mark, cause string) {
	for _, m := range all {
		v, _ := s.book.Evaluate(time.Now(), m.Fingerprint)
		s.trail.Add(audit.EventQuarantine, hex.EncodeToString(m.Fingerprint[:]), cause,
			audit.Field{Name: "state", Value: verdictNames[v]}, audit.Field{Name: "loss", Value: string(m.LossID)})
	}
}

// Encode turns marks into messages.
func Encode(all []Mark) []*wire.BlameMark {
	var messages []*wire.BlameMark
	for _, m := range all {
		messages = append(messages, &wire.BlameMark{
			Fingerprint: m.Fingerprint[:], Attempt: string(m.LossID), Left: time.Until(m.ExpiresAt).Milliseconds(), Cleared: m.Cleared,
		})
	}
	return messages
}

// Decode turns messages into marks. Malformed ones are passed over.
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
