// Package picker chooses the upstream for a request. It does no I/O.
//
// # Choice
//
// Choose takes the candidates of one pool and returns one that serves the
// version of the pool. Requests with the same prefix of their prompt go to the
// same upstream, whose cache holds the prefix, as long as it isn't loaded above
// its share; those above it spill over to the next one in the order of the
// rendezvous score, and from the own failure domain to the region and beyond.
//
// # Load
//
// A load report lags. A candidate's load is what others had in progress at the
// report plus the entry's own requests in progress now.
//
// # Caches
//
// Caches holds what the engines published of their prefix caches. It corrects
// the order of the scores and is never needed for a choice.
//
// # Subsets
//
// Subset says which agents an entry keeps connections to.
package picker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantport.example/core/hosts"
)

// PrefixBytes is the length of the part of a prompt by which requests are kept
// together.
const PrefixBytes = 256

// Bounds of the load of an upstream in relation to the mean of the pool.
const (
	affineBound = 1.25
	evenBound   = 1.0
	// affineSlack is the number of requests by which an upstream may always be
	// above the bound to keep a prefix together.
	affineSlack = 2
)

// Tier is how near an upstream is to an entry. A lower one is nearer.
type Tier uint8

// The tiers.
const (
	TierDomain Tier = iota
	TierRegion
	TierRemote
)

// TierOf returns how near two places are.
func TierOf(a, b hosts.Place) Tier {
	switch {
	case a.Region != b.Region:
		return TierRemote
	case a.Domain != b.Domain:
		return TierRegion
	}
	return TierDomain
}

// Candidate is what a choice needs of one upstream.
type Candidate struct {
	// Seed is SeedOf the name of the host.
	Seed uint64
	// OtherRequests is the number of requests of others in progress at the last report.
	OtherRequests int32
	// OwnRequests is the number of the entry's own requests in progress.
	OwnRequests int32
	// Window is the number of own requests that may be in progress.
	Window int32
	Tier   Tier
	// Ready tells that it serves the version of the pool and isn't leaving.
	Ready bool
}

// Load returns the number of requests that are likely in progress.
func (c *Candidate) Load() int32 { return c.OtherRequests + c.OwnRequests }

// Query says for which request an upstream is chosen.
type Query struct {
	// Prefix is PrefixOf the body of the request, or any number if Even is set.
	Prefix uint64
	// NoAffinity tells that requests with the same prefix need not be kept together.
	NoAffinity bool
	// Holders are the seeds of the upstreams whose caches hold the prefix.
	Holders []uint64
	// Excluded are the seeds of the upstreams to be passed over.
	Excluded []uint64
}

// SeedOf returns the number that stands for a host in scores.
func SeedOf(name hosts.Name) uint64 { return xxhash.Sum64String(string(name)) }

// PrefixOf returns the number that stands for the prefix of a body.
func PrefixOf(body []byte) uint64 { return xxhash.Sum64(body[:min(len(body), PrefixBytes)]) }

// Choose returns the index of the candidate that the request goes to, or -1 if
// none may take it. The candidates are ordered by seed. If all are loaded it
// returns the least loaded.
func Choose(all []Candidate, q Query) int {
	bound := boundOf(all, &q)
	holder := chooseHolder(all, &q, bound)
	if holder >= 0 && all[holder].Tier != TierRemote {
		return holder
	}
	best, spare := scan(all, &q, bound)
	switch {
	case holder >= 0 && (best < 0 || all[best].Tier == TierRemote):
		return holder
	case best >= 0:
		return best
	}
	return spare
}

// chooseHolder returns the best candidate that holds the prefix, or -1.
func chooseHolder(all []Candidate, q *Query, bound int32) int {
	best := -1
	for _, h := range q.Holders {
		i, ok := slices.BinarySearchFunc(all, h, compareSeed)
		if !ok || !isOpen(&all[i], q) || isLoaded(&all[i], bound) {
			continue
		}
		if best < 0 || all[i].Tier < all[best].Tier || all[i].Tier == all[best].Tier && all[i].Load() < all[best].Load() {
			best = i
		}
	}
	return best
}

// scan returns the nearest candidate within the bound that has the highest
// score, and the least loaded one beyond it.
func scan(all []Candidate, q *Query, bound int32) (best, spare int) {
	best, spare = -1, -1
	var tier Tier
	var highest uint64
	for i := range all {
		c := &all[i]
		if !isOpen(c, q) {
			continue
		}
		if isLoaded(c, bound) {
			spare = lessLoaded(all, spare, i)
			continue
		}
		if best >= 0 && c.Tier > tier {
			continue
		}
		if s := score(q.Prefix, c.Seed); best < 0 || c.Tier < tier || s > highest {
			best, tier, highest = i, c.Tier, s
		}
	}
	return best, spare
}

func isOpen(c *Candidate, q *Query) bool {
	return c.Ready && (len(q.Excluded) == 0 || !slices.Contains(q.Excluded, c.Seed))
}

func isLoaded(c *Candidate, bound int32) bool { return c.OwnRequests >= c.Window || c.Load() > bound }

func compareSeed(c Candidate, seed uint64) int { return cmp.Compare(c.Seed, seed) }

// boundOf returns the load that a candidate may have to be chosen.
func boundOf(all []Candidate, q *Query) int32 {
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
	factor, slack := affineBound, int32(affineSlack)
	if q.NoAffinity {
		factor, slack = evenBound, 0
	}
	return int32(factor*float64(sum)/float64(count)) + slack
}

func lessLoaded(all []Candidate, a, b int) int {
	if a >= 0 && all[a].Load() <= all[b].Load() {
		return a
	}
	return b
}

// score returns the rendezvous weight of a candidate for a prefix.
func score(prefix, seed uint64) uint64 {
	x := prefix ^ seed
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}
