package picker

import (
	"cmp"
	"slices"

	"currantport.example/core/hosts"
)

const (
	// SubsetSize is the number of agents of one pool that an entry keeps connections to,
	// unless the coverage of the pool requires more.
	SubsetSize = 64
	// minCoverage is the number of entries that keep connections to each agent, whatever
	// the size of their subsets.
	minCoverage = 3
)

// Subset returns the agents of a pool that an entry keeps connections to. Every agent is in
// the subsets of the minCoverage nearest entries, so that all entries together cover the pool.
// The rest of the subset is filled with the nearest agents in the order of their scores. The
// same lists give the same subset, and a change of one host affects only its own places in
// the subsets.
func Subset(self hosts.Host, entries, agents []hosts.Host) []hosts.Host {
	if len(agents) <= SubsetSize {
		return agents
	}
	var kept, others []scoredHost
	for _, a := range agents {
		s := scoredHost{host: a, tier: TierOf(self.Place, a.Place), score: hosts.Score(string(self.Name), a.Name)}
		if coversAgent(self, entries, a) {
			kept = append(kept, s)
			continue
		}
		others = append(others, s)
	}
	slices.SortFunc(others, compareScored)
	missing := max(SubsetSize-len(kept), 0)
	kept = append(kept, others[:min(missing, len(others))]...)
	chosen := make([]hosts.Host, 0, len(kept))
	for _, s := range kept {
		chosen = append(chosen, s.host)
	}
	return chosen
}

// coversAgent reports whether the entry is one of the minCoverage entries that keep the agent
// in their subsets: the nearest ones with the highest scores.
func coversAgent(self hosts.Host, entries []hosts.Host, agent hosts.Host) bool {
	own := scoredHost{host: self, tier: TierOf(self.Place, agent.Place), score: hosts.Score(string(agent.Name), self.Name)}
	before := 0
	for _, e := range entries {
		tier := TierOf(e.Place, agent.Place)
		if e.Name == self.Name || tier > own.tier {
			continue
		}
		other := scoredHost{host: e, tier: tier, score: hosts.Score(string(agent.Name), e.Name)}
		if compareScored(other, own) < 0 {
			before++
		}
		if before == minCoverage {
			return false
		}
	}
	return true
}

type scoredHost struct {
	host  hosts.Host
	tier  Tier
	score uint64
}

// compareScored orders hosts by tier, then by falling score.
func compareScored(a, b scoredHost) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name))
}
