package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Subject is what a fault harms: a process, an upstream, or one of those below.
type Subject string

// subjectStore is the store as all see it.
const subjectStore Subject = "store"

// Moment is something that happened.
type Moment struct {
	At   time.Time
	Name string
	// Subject is empty for what harms nobody, such as a new configuration.
	Subject Subject
	// Until is when the harm ended, or zero while it lasts.
	Until time.Time
}

// timeline holds what happened in a run. Goroutines share it.
type timeline struct {
	begun time.Time

	mutex sync.Mutex
	all   []*Moment
}

func newTimeline() *timeline { return &timeline{begun: time.Now()} }

// add records something and returns a function that ends it.
func (t *timeline) add(m Moment) func() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m.At = time.Now()
	t.all = append(t.all, &m)
	return func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		m.Until = time.Now()
	}
}

// calm reports whether nothing harmed any of the subjects from a while before the first
// time until the second.
func (t *timeline) calm(from, until time.Time, subjects ...Subject) bool {
	return t.calmBut("", from, until, subjects...)
}

// calmBut reports whether nothing but the named event harmed any of the subjects.
func (t *timeline) calmBut(name string, from, until time.Time, subjects ...Subject) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	from = from.Add(-stableTime)
	return !slices.ContainsFunc(t.all, func(m *Moment) bool {
		return m.Subject != "" && slices.Contains(subjects, m.Subject) && m.Name != name &&
			m.At.Before(until) && (m.Until.IsZero() || m.Until.After(from))
	})
}

func (t *timeline) moments() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []string
	for _, m := range t.all {
		text := fmt.Sprintf("at=%s event=%q", m.At.Sub(t.begun).Round(time.Millisecond), m.Name)
		if m.Subject != "" {
			text += fmt.Sprintf(" subject=%s", m.Subject)
		}
		if !m.Until.IsZero() {
			text += fmt.Sprintf(" for=%s", m.Until.Sub(m.At).Round(time.Millisecond))
		}
		all = append(all, text)
	}
	return all
}

// since returns the time of the run in the form of the timeline.
func (t *timeline) since(at time.Time) string {
	return at.Sub(t.begun).Round(time.Millisecond).String()
}

func (t *timeline) write(file string) error {
	return os.WriteFile(file, []byte(strings.Join(t.moments(), "\n")+"\n"), 0o600)
}

// stopped reports whether a graceful stop of the subject began between the times.
func (t *timeline) stopped(subject Subject, from, until time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.all, func(m *Moment) bool {
		return m.Subject == subject && m.Name == eventStop && m.At.After(from) && m.At.Before(until)
	})
}
