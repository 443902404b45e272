// Package hosts models the machines of a fleet: their names, failure domains, regions, roles
// and states.
//
// # The list
//
// A platform publishes a list of hosts that lags behind. A Source reads it; a List is an
// immutable snapshot ordered by name, safe to share between goroutines.
//
// # Ranks
//
// Every process that holds the same names computes the same Rank for a key, so that duties
// are assigned without messages. Removing a name moves only the duties of that name.
package hosts

import (
	"context"
	"net/netip"
	"slices"
	"strings"
)

// Name identifies a host. It is unique in the fleet.
type Name string

// Domain names a failure domain.
type Domain string

// Region names a region. A region holds one failure domain or more.
type Region string

// Role is the program that runs on a host.
type Role string

// The roles of a host.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State is whether a host may be given new work.
type State string

// The states of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	// StateMissing is a host that the platform no longer lists without having seen it
	// leave. It is used as long as it responds.
	StateMissing State = "missing"
)

// Place is the location of a host.
type Place struct {
	Region Region
	Domain Domain
}

// Host is one machine of the fleet.
type Host struct {
	Name  Name
	Place Place
	Role  Role
	State State
	// Address is where the program on the host accepts connections.
	Address netip.AddrPort
}

// RowName returns the unique key of the host in the platform's table.
func (h Host) RowName() string { return string(h.Name) }

// Source reads the platform's list of hosts.
type Source interface {
	// Hosts returns the hosts that the platform lists now. The list lags behind.
	Hosts(ctx context.Context) ([]Host, error)
}

// List is an immutable snapshot of the fleet. The zero value is an empty list.
type List struct {
	// hosts is ordered by name and never changes.
	hosts []Host
}

// NewList returns a snapshot of the given hosts. Of hosts with the same name the first one is
// kept.
func NewList(all []Host) List {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, compareNames)
	sorted = slices.CompactFunc(sorted, sameName)
	return List{hosts: sorted}
}

// Len returns the number of hosts.
func (l List) Len() int { return len(l.hosts) }

// All returns the hosts ordered by name. The caller must not modify the slice.
func (l List) All() []Host { return l.hosts }

// Find returns the host with the given name.
func (l List) Find(name Name) (Host, bool) {
	i, ok := slices.BinarySearchFunc(l.hosts, Host{Name: name}, compareNames)
	if !ok {
		return Host{}, false
	}
	return l.hosts[i], true
}

// WithRole returns the hosts of a role, ordered by name.
func (l List) WithRole(role Role) []Host {
	var found []Host
	for _, h := range l.hosts {
		if h.Role == role {
			found = append(found, h)
		}
	}
	return found
}

func compareNames(a, b Host) int { return strings.Compare(string(a.Name), string(b.Name)) }

func sameName(a, b Host) bool { return a.Name == b.Name }

// ListID identifies the storage of an immutable list of hosts. Lists with the same one are equal.
// The zero value is that of all empty lists.
type ListID struct {
	first  *Host
	length int
}

// ListIDOf returns the identity of a list that doesn't change.
func ListIDOf(all []Host) ListID {
	if len(all) == 0 {
		return ListID{}
	}
	return ListID{first: &all[0], length: len(all)}
}
