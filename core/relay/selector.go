package relay

import (
	"time"

	"currantport.example/core/hosts"
)

// avoidTime is how long a process that failed to answer is passed over, unless a
// probe finds before that it answers again.
const avoidTime = 80 * time.Second

// chooser chooses between the feeds of a process. It does no I/O.
type chooser struct {
	// failed holds until when each process that failed is passed over.
	failed map[hosts.Name]time.Time
}

func newChooser() *chooser { return &chooser{failed: make(map[hosts.Name]time.Time)} }

// next returns the first feed that hasn't failed lately and that no other puller
// uses, or else the one that may be asked again first.
func (c *chooser) next(feeds []hosts.Host, used map[hosts.Name]bool, now time.Time) (hosts.Host, bool) {
	var first hosts.Host
	found := false
	for _, f := range feeds {
		if used[f.Name] {
			continue
		}
		at, ok := c.failed[f.Name]
		if !ok || !now.Before(at) {
			return f, true
		}
		if !found || at.Before(c.failed[first.Name]) {
			first, found = f, true
		}
	}
	return first, found
}

// shunned returns the feeds that are passed over.
func (c *chooser) shunned(feeds []hosts.Host, now time.Time) []hosts.Host {
	var all []hosts.Host
	for _, f := range feeds {
		if now.Before(c.failed[f.Name]) {
			all = append(all, f)
		}
	}
	return all
}

func (c *chooser) fail(name hosts.Name, now time.Time) { c.failed[name] = now.Add(avoidTime) }

func (c *chooser) succeed(name hosts.Name) { delete(c.failed, name) }
