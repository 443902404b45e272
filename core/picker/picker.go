// Package picker chooses the upstream for a request. It does no I/O.
//
// # Choice
//
// Choose selects one of the candidates of a pool that serve the version of the pool. Requests
// whose prompts share a prefix go to the same upstream, which has the prefix cached, until its
// load exceeds a bound relative to the mean of the pool. Further requests spill over to the
// next upstream in the order of the rendezvous scores, and from the failure domain of the
// entry to its region and beyond.
//
// # Load
//
// Load reports lag. The load of a candidate is the number of requests of other entries at the
// last report plus the number of the entry's own requests now.
//
// # Caches
//
// Caches tracks the prefix caches of the engines from the events that they publish. Upstreams
// that have the prefix cached take precedence over the order of the scores. Choose works
// without this knowledge.
//
// # Subsets
//
// Subset selects the agents that an entry keeps connections to, and Neighbors the entries
// that it names to clients.
package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantport.example/core/hosts"
)

// PrefixBytes is the length of the part of a body by which requests are grouped.
const PrefixBytes = 256

const (
	// affinityFactor and balancedFactor bound the load of an upstream relative to the mean
	// of the pool.
	affinityFactor = 1.25
	balancedFactor = 1.0
	// affinitySlack is the number of requests by which an upstream may always exceed the
	// bound to keep requests with the same prefix together.
	affinitySlack = 2
)

// Tier is the distance of an upstream from an entry. A lower one is nearer.
type Tier uint8

// The tiers.
const (
	TierDomain Tier = iota
	TierRegion
	TierRemote
)

// TierOf returns the distance between two places.
func TierOf(a, b hosts.Place) Tier {
	switch {
	case a.Region != b.Region:
		return TierRemote
	case a.Domain != b.Domain:
		return TierRegion
	}
	return TierDomain
}

// Candidate is the state of one upstream that Choose needs.
type Candidate struct {
	// Seed is SeedOf the host name.
	Seed uint64
	// OtherRequests is the number of requests of other entries in progress at the last load
	// report.
	OtherRequests int32
	// OwnRequests is the number of the entry's own requests in progress.
	OwnRequests int32
	// Window is the maximum of OwnRequests.
	Window int32
	Tier   Tier
	// Ready is set if the upstream serves the version of the pool and isn't draining.
	Ready bool
}

// Load returns the estimated number of requests in progress.
func (c *Candidate) Load() int32 { return c.OtherRequests + c.OwnRequests }

// Query describes the request that an upstream is chosen for.
type Query struct {
	// Prefix is PrefixOf the body of the request, or any number if NoAffinity is set.
	Prefix uint64
	// NoAffinity is set if requests with the same prefix need not go to the same upstream.
	NoAffinity bool
	// Holders are the seeds of the upstreams that have the prefix cached.
	Holders []uint64
	// Excluded are the seeds of upstreams that must not be chosen.
	Excluded []uint64
}

// SeedOf returns the hash of a host name that scores use.
func SeedOf(name hosts.Name) uint64 { return xxhash.Sum64String(string(name)) }

// PrefixOf returns the hash of the first PrefixBytes of a body.
func PrefixOf(body []byte) uint64 { return xxhash.Sum64(body[:min(len(body), PrefixBytes)]) }

// Choose returns the index of the candidate for the request, or -1 if none is eligible. The
// candidates must be ordered by seed. If all are overloaded it returns the least loaded.
func Choose(all []Candidate, q Query) int {
	bound := loadBound(all, &q)
	holder := chooseHolder(all, &q, bound)
	if holder >= 0 && all[holder].Tier != TierRemote {
		return holder
	}
	best, leastLoaded := scan(all, &q, bound)
	switch {
	case holder >= 0 && (best < 0 || all[best].Tier == TierRemote):
		return holder
	case best >= 0:
		return best
	}
	return leastLoaded
}

// chooseHolder returns the index of the nearest, then least loaded candidate within the bound
// that has the prefix cached, or -1.
func chooseHolder(all []Candidate, q *Query, bound int32) int {
	best := -1
	for _, h := range q.Holders {
		i, ok := slices.BinarySearchFunc(all, h, compareSeed)
		if !ok || !isEligible(&all[i], q) || isOverloaded(&all[i], bound) {
			continue
		}
		if best < 0 || all[i].Tier < all[best].Tier || all[i].Tier == all[best].Tier && all[i].Load() < all[best].Load() {
			best = i
		}
	}
	return best
}

// scan returns the index of the candidate with the highest score among the nearest ones within
// the bound, and that of the least loaded one above it. Either is -1 if there is none.
func scan(all []Candidate, q *Query, bound int32) (best, leastLoaded int) {
	best, leastLoaded = -1, -1
	var tier Tier
	var highest uint64
	for i := range all {
		c := &all[i]
		if !isEligible(c, q) {
			continue
		}
		if isOverloaded(c, bound) {
			leastLoaded = lessLoaded(all, leastLoaded, i)
			continue
		}
		if best >= 0 && c.Tier > tier {
			continue
		}
		if s := score(q.Prefix, c.Seed); best < 0 || c.Tier < tier || s > highest {
			best, tier, highest = i, c.Tier, s
		}
	}
	return best, leastLoaded
}

func isEligible(c *Candidate, q *Query) bool {
	return c.Ready && (len(q.Excluded) == 0 || !slices.Contains(q.Excluded, c.Seed))
}

func isOverloaded(c *Candidate, bound int32) bool {
	return c.OwnRequests >= c.Window || c.Load() > bound
}

func compareSeed(c Candidate, seed uint64) int { return cmp.Compare(c.Seed, seed) }

// loadBound returns the load up to which a candidate isn't overloaded.
func loadBound(all []Candidate, q *Query) int32 {
	var count, sum int32
	for i := range all {
		if all[i].Ready {
			count++
			sum += all[i].Load()
		}
	}
	if count == 0 {
		return 0
	}
	factor, slack := affinityFactor, int32(affinitySlack)
	if q.NoAffinity {
		factor, slack = balancedFactor, 0
	}
	return int32(factor*float64(sum)/float64(count)) + slack
}

func lessLoaded(all []Candidate, a, b int) int {
	if a >= 0 && all[a].Load() <= all[b].Load() {
		return a
	}
	return b
}

// score returns the rendezvous score of a candidate for a prefix.
func score(prefix, seed uint64) uint64 {
	x := prefix ^ seed
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
