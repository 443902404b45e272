package turns

import (
	"slices"
	"time"

	"currantport.example/core/hosts"
)

// RetentionTimeout is how long a host keeps the chunks of a version that it has loaded
// if other hosts of the pool are not seen to serve it.
const RetentionTimeout = 15 * time.Minute

// Coverage follows whether every other host of a pool serves a target, so that the
// chunks in memory may be freed. It isn't safe for use by several goroutines.
type Coverage struct {
	target Target
	start  time.Time
	keeper bool
	// left are the hosts that haven't been seen to serve the target.
	left []hosts.Name
	next int
}

// NewCoverage returns what a host that serves the target knows at first.
func NewCoverage(target Target, pool string, all []Place, self hosts.Name, now time.Time) *Coverage {
	s := &Coverage{target: target, start: now, keeper: isKeeper(pool, all, self)}
	for _, p := range all {
		if p.Name != self {
			s.left = append(s.left, p.Name)
		}
	}
	return s
}

// isKeeper reports whether the host is the first of its failure domain. Keepers
// hold the chunks as long as the row names the version, for hosts that join the
// pool and engines that restart.
func isKeeper(pool string, all []Place, self hosts.Name) bool {
	at := slices.IndexFunc(all, func(p Place) bool { return p.Name == self })
	if at < 0 {
		return false
	}
	var members []hosts.Name
	for _, p := range all {
		if p.Domain == all[at].Domain {
			members = append(members, p.Name)
		}
	}
	return hosts.Rank(pool, members)[0] == self
}

// NextQuery returns the host to ask next. It reports false if there is none.
func (s *Coverage) NextQuery() (hosts.Name, bool) {
	if len(s.left) == 0 || s.keeper {
		return "", false
	}
	s.next++
	return s.left[s.next%len(s.left)], true
}

// Record records what a host said.
func (s *Coverage) Record(name hosts.Name, v View) {
	if v.Serves == s.target {
		s.left = slices.DeleteFunc(s.left, func(n hosts.Name) bool { return n == name })
	}
}

// CanFree reports whether the chunks may be freed.
func (s *Coverage) CanFree(now time.Time) bool {
	return !s.keeper && (len(s.left) == 0 || now.Sub(s.start) > RetentionTimeout)
}
