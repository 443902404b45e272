package turns

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// RetentionTimeout is how long a host keeps the chunks of a version that it serves
// while some other host of the pool hasn't been observed to serve it.
const RetentionTimeout = 15 * time.Minute

// Coverage tracks whether every other host of a pool serves a target, after which the
// chunks in memory may be freed. It isn't safe for concurrent use.
type Coverage struct {
	target Target
	start  time.Time
	// isRetainer means that the chunks are retained as long as the row names the
	// version.
	isRetainer bool
	// remaining are the hosts that haven't been observed to serve the target.
	remaining []hosts.Name
	next      int
}

// NewCoverage returns the coverage of a host that serves the target, before any other
// host has been queried.
func NewCoverage(target Target, pool string, all []Place, self hosts.Name, now time.Time) *Coverage {
	c := &Coverage{target: target, start: now, isRetainer: isFirstOfDomain(pool, all, self)}
	for _, p := range all {
		if p.Name != self {
			c.remaining = append(c.remaining, p.Name)
		}
	}
	return c
}

// isFirstOfDomain reports whether the host ranks first in its failure domain. This
// host retains the chunks as long as the row names the version, for hosts that join
// the pool and for engines that restart.
func isFirstOfDomain(pool string, all []Place, self hosts.Name) bool {
	index := slices.IndexFunc(all, func(p Place) bool { return p.Name == self })
	if index < 0 {
		return false
	}
	var members []hosts.Name
	for _, p := range all {
		if p.Domain == all[index].Domain {
			members = append(members, p.Name)
		}
	}
	return hosts.Rank(pool, members)[0] == self
}

// NextQuery returns the host to query next. It reports false if there is none.
func (c *Coverage) NextQuery() (hosts.Name, bool) {
	if len(c.remaining) == 0 || c.isRetainer {
		return "", false
	}
	c.next++
	return c.remaining[c.next%len(c.remaining)], true
}

// Record records the view that a host returned.
func (c *Coverage) Record(name hosts.Name, v View) {
	if v.Serves == c.target {
		c.remaining = slices.DeleteFunc(c.remaining, func(n hosts.Name) bool { return n == name })
	}
}

// CanFree reports whether the chunks may be freed.
func (c *Coverage) CanFree(now time.Time) bool {
	return !c.isRetainer && (len(c.remaining) == 0 || now.Sub(c.start) > RetentionTimeout)
}
