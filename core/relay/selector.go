package relay

import (
	"time"

	"currantport.example/core/hosts"
)

// failureBackoff is how long a feed that failed is skipped, unless a probe finds
// earlier that it replies.
const failureBackoff = 80 * time.Second

// feedSelector selects among the feeds of a process and skips those that failed. It
// does no I/O.
type feedSelector struct {
	// skipUntil is the time until which each failed feed is skipped.
	skipUntil map[hosts.Name]time.Time
}

func newFeedSelector() *feedSelector { return &feedSelector{skipUntil: make(map[hosts.Name]time.Time)} }

// next returns the first feed that isn't skipped and that no other puller uses. If all
// are skipped, it returns the one whose backoff ends first.
func (s *feedSelector) next(feeds []hosts.Host, used map[hosts.Name]bool, now time.Time) (hosts.Host, bool) {
	var first hosts.Host
	found := false
	for _, f := range feeds {
		if used[f.Name] {
			continue
		}
		until, ok := s.skipUntil[f.Name]
		if !ok || !now.Before(until) {
			return f, true
		}
		if !found || until.Before(s.skipUntil[first.Name]) {
			first, found = f, true
		}
	}
	return first, found
}

// skipped returns the feeds that are skipped now.
func (s *feedSelector) skipped(feeds []hosts.Host, now time.Time) []hosts.Host {
	var all []hosts.Host
	for _, f := range feeds {
		if now.Before(s.skipUntil[f.Name]) {
			all = append(all, f)
		}
	}
	return all
}

func (s *feedSelector) recordFailure(name hosts.Name, now time.Time) {
	s.skipUntil[name] = now.Add(failureBackoff)
}

func (s *feedSelector) recordSuccess(name hosts.Name) { delete(s.skipUntil, name) }
