// Package turns assigns roll-out slots: it decides when a host of a pool may stop
// serving its version to load another, so that the configured ratio of the pool's
// hosts stays ready.
//
// # Chains
//
// The hosts of a pool are ordered by rendezvous rank, alternating between failure
// domains. If w hosts may be unready at a time, the order is split into w chains of
// every w-th host, and at most one host of a chain reloads at a time. Every process
// computes the same chains from the pool row, whatever version the row names; there
// is no coordinator.
//
// # Slots
//
// A host waits until its predecessors in the chain serve the target version. It
// skips those that don't respond, that serve nothing, that haven't fetched the
// version in time, and, once some host serves the version, one whose load failed.
// Then it claims its slot, which other hosts can query, and queries its chain once
// more: of two hosts that claim, the later one in the chain yields.
package turns

import (
	"cmp"
	"math"
	"slices"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

// Target is what the engines of a pool should serve.
type Target struct {
	Version  string
	Manifest chunks.Digest
	Base     chunks.Digest
	Role     string
}

// TargetOf returns the target of a pool row.
func TargetOf(p tables.Pool) Target {
	return Target{Version: p.Version, Manifest: p.Manifest, Base: p.Base, Role: p.Role}
}

// Phase is the progress of a host's reload. Hosts report it to each other.
type Phase string

// The phases of a host.
const (
	// PhaseIdle means that the host isn't reloading.
	PhaseIdle Phase = "idle"
	// PhasePrepared means that it holds all chunks and waits for its slot.
	PhasePrepared Phase = "prepared"
	// PhaseClaim means that it has claimed its slot and still serves.
	PhaseClaim Phase = "claim"
	// PhaseReload means that it has stopped serving to load another version.
	PhaseReload Phase = "reload"
	// PhaseFailed means that its last load failed and it serves nothing.
	PhaseFailed Phase = "failed"
)

// View is what a host reports about itself.
type View struct {
	// Serves is what its engine serves. The manifest is zero if it serves nothing.
	Serves Target
	Phase  Phase
}

// Place is a host of a pool with its failure domain.
type Place struct {
	Name   hosts.Name
	Domain hosts.Domain
}

// Order returns the hosts of a pool in the order in which they reload: by rank
// within each failure domain, alternating between the domains. It doesn't depend on
// the order of the places.
func Order(pool string, all []Place) []hosts.Name {
	domains := make(map[hosts.Domain][]hosts.Name)
	var names []hosts.Name
	for _, p := range all {
		domains[p.Domain] = append(domains[p.Domain], p.Name)
		names = append(names, hosts.Name(p.Domain))
	}
	slices.Sort(names)
	names = slices.Compact(names)
	rankInDomain := make(map[hosts.Name]int)
	for _, members := range domains {
		for i, n := range hosts.Rank(pool, members) {
			rankInDomain[n] = i
		}
	}
	domainRank := make(map[hosts.Domain]int)
	for i, d := range hosts.Rank(pool, names) {
		domainRank[hosts.Domain(d)] = i
	}
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b Place) int {
		return cmp.Or(cmp.Compare(rankInDomain[a.Name], rankInDomain[b.Name]), cmp.Compare(domainRank[a.Domain], domainRank[b.Domain]))
	})
	order := make([]hosts.Name, len(sorted))
	for i, p := range sorted {
		order[i] = p.Name
	}
	return order
}

// Width returns how many of count hosts may be unready at a time, at least one.
// Ready is the ratio of hosts that stay ready, from 0 to 1.
func Width(count int, ready float64) int {
	const rounding = 1e-9 // (1-0.8)*15 is slightly below 3 in floating point
	return max(1, int(math.Floor((1-ready)*float64(count)+rounding)))
}

// Chain returns the other hosts of a host's chain: its predecessors, nearest first,
// and its successors in order. Both are empty if the host isn't in the order.
func Chain(order []hosts.Name, self hosts.Name, width int) (predecessors, successors []hosts.Name) {
	index := slices.Index(order, self)
	if index < 0 {
		return nil, nil
	}
	for i := index - width; i >= 0; i -= width {
		predecessors = append(predecessors, order[i])
	}
	for i := index + width; i < len(order); i += width {
		successors = append(successors, order[i])
	}
	return predecessors, successors
}
