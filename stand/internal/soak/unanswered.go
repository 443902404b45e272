package soak

import (
	"time"

	"currantport.example/platform/fakes"
)

const (
	// changeGrace is how long after the time to apply a configuration it still counts as a change.
	changeGrace = time.Second
	// spentTime is the time after which a request has used so much of its timeout that the end of it
	// may be the timeout's.
	spentTime = routeTimeout * 7 / 10
)

// span is a time for which a change is under way.
type span struct{ from, until time.Time }

// checkUnanswered checks that beside a change of the configuration, or of the settings of its entry,
// each request gets a whole response or a refusal unless its client, its upstream or a fault is the
// cause.
func (c *checker) checkUnanswered(all []*sentRequest) {
	configurations := c.configurationSpans()
	for _, s := range all {
		spans := append(c.world.timeline.settingsSpans(s.entry.name), configurations...)
		since := earliest(spans, s.sentAt, s.endedAt)
		if since.IsZero() {
			continue
		}
		c.changed++
		if !s.connectedAt.IsZero() && s.connectedAt.Before(since) {
			c.kept++
		}
		if runs := c.world.ledger.RunsOf(s.ID); c.isUnanswered(s, runs) {
			c.recordViolation("unanswered", "%s %s at %s through %s, %d runs, after %s: %v",
				s.kind.name, s.ID, c.world.timeline.offset(s.sentAt), s.entry.name, len(runs), s.endedAt.Sub(s.sentAt), s.response.Err)
		}
	}
}

// isUnanswered reports whether a request was read and ended without a response, and only the entry
// can be the cause.
func (c *checker) isUnanswered(s *sentRequest, runs []fakes.Run) bool {
	if s.response.Err == nil || !s.canceledAt.IsZero() || s.endedAt.IsZero() {
		return false
	}
	took := s.endedAt.Sub(s.sentAt)
	isRead := len(runs) > 0 || took > deliveryTime
	return isRead && took < spentTime && !c.upstreamDisturbed(s, runs) &&
		c.world.timeline.undisturbedExcept([]string{eventSettings}, s.sentAt, s.endedAt, s.entry.name)
}

// configurationSpans returns the times for which configurations were new.
func (c *checker) configurationSpans() []span {
	generations, _ := c.world.operator.history()
	var all []span
	for _, g := range generations {
		all = append(all, span{g.publishedAt, g.storedAt.Add(applyLimit + changeGrace)})
	}
	return all
}

// settingsSpans returns the times for which the settings of a process were new.
func (t *timeline) settingsSpans(p Subject) []span {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []span
	for _, e := range t.events {
		if e.Name == eventSettings && e.Subject == p {
			all = append(all, span{e.StartedAt, e.StartedAt.Add(applyLimit + changeGrace)})
		}
	}
	return all
}

// earliest returns the start of the first span that overlaps a time, or zero if none does.
func earliest(spans []span, from, until time.Time) time.Time {
	var first time.Time
	for _, p := range spans {
		if from.Before(p.until) && until.After(p.from) && (first.IsZero() || p.from.Before(first)) {
			first = p.from
		}
	}
	return first
}
