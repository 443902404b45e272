package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// Subject is what a fault affects: a process, an upstream, or one of the constants below.
type Subject string

// subjectStore is the store as seen by all processes.
const subjectStore Subject = "store"

// Event is an injected fault or an action of an operator.
type Event struct {
	StartedAt time.Time
	Name      string
	// Subject is empty for events that disturb nothing, such as a new configuration.
	Subject Subject
	// EndedAt is when the fault ended, or zero while it lasts.
	EndedAt time.Time
}

// timeline records the events of a run. It is safe for concurrent use.
type timeline struct {
	startedAt time.Time

	mutex  sync.Mutex
	events []*Event
}

func newTimeline() *timeline { return &timeline{startedAt: time.Now()} }

// add records an event and returns a function that marks its end.
func (t *timeline) add(e Event) func() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e.StartedAt = time.Now()
	t.events = append(t.events, &e)
	return func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		e.EndedAt = time.Now()
	}
}

// undisturbed reports whether no event affected any of the subjects from stabilityTime
// before the first time until the second.
func (t *timeline) undisturbed(from, until time.Time, subjects ...Subject) bool {
	return t.undisturbedExcept(nil, from, until, subjects...)
}

// undisturbedExcept is like undisturbed but ignores events with one of the names.
func (t *timeline) undisturbedExcept(names []string, from, until time.Time, subjects ...Subject) bool {
	return !t.overlaps(from.Add(-stabilityTime), until, func(e *Event) bool { return slices.Contains(subjects, e.Subject) && !slices.Contains(names, e.Name) })
}

// overlaps reports whether an event with a subject that matches lasted at any time between the
// two.
func (t *timeline) overlaps(from, until time.Time, matches func(*Event) bool) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.events, func(e *Event) bool {
		return e.Subject != "" && e.StartedAt.Before(until) && (e.EndedAt.IsZero() || e.EndedAt.After(from)) && matches(e)
	})
}

// lines returns the events in the format of the timeline file.
func (t *timeline) lines() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []string
	for _, e := range t.events {
		text := fmt.Sprintf("at=%s event=%q", e.StartedAt.Sub(t.startedAt).Round(time.Millisecond), e.Name)
		if e.Subject != "" {
			text += fmt.Sprintf(" subject=%s", e.Subject)
		}
		if !e.EndedAt.IsZero() {
			text += fmt.Sprintf(" for=%s", e.EndedAt.Sub(e.StartedAt).Round(time.Millisecond))
		}
		all = append(all, text)
	}
	return all
}

// offset returns the time since the start of the run in the format of the timeline file.
func (t *timeline) offset(at time.Time) string {
	return at.Sub(t.startedAt).Round(time.Millisecond).String()
}

func (t *timeline) write(file string) error {
	return os.WriteFile(file, []byte(strings.Join(t.lines(), "\n")+"\n"), 0o600)
}

// stoppedBetween reports whether a graceful shutdown of the subject started between the
// times.
func (t *timeline) stoppedBetween(subject Subject, from, until time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.ContainsFunc(t.events, func(e *Event) bool {
		return e.Subject == subject && e.Name == eventGracefulStop && e.StartedAt.After(from) && e.StartedAt.Before(until)
	})
}
