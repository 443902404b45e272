// Package hosts models the machines of a fleet: their names, failure domains,
// regions and the platform's list of which are live and which are leaving.
//
// # The list
//
// A platform publishes a lagging list of hosts. A Source reads it once; a List
// is an immutable snapshot ordered by name, safe to share between goroutines.
//
// # Ranks
//
// Every process that holds the same names computes the same Rank for a key, so
// that duties are shared out without messages. Removing a name moves only the
// duties of that name.
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

// Role says which program of the system runs on a host.
type Role string

// The roles of a host.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// State says whether a host may be given new work.
type State string

// The states of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	// StateMissing is that of a host that the platform lists no longer, though
	// it was not seen to leave. It is used while it answers.
	StateMissing State = "missing"
)

// Place is where a host stands.
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
	// Address is where the program on the host accepts calls.
	Address netip.AddrPort
}

// RowName returns the name that is unique in the list.
func (h Host) RowName() string { return string(h.Name) }

// Source reads the platform's list of hosts.
type Source interface {
	// Hosts returns the hosts that the platform lists now. The list lags.
	Hosts(ctx context.Context) ([]Host, error)
}

// List is an immutable snapshot of the fleet. The zero value is an empty list.
type List struct {
	// hosts is ordered by name and never changes.
	hosts []Host
}

// NewList returns a snapshot of the given hosts. Of hosts with the same name
// the first one counts.
func NewList(all []Host) List {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, compareNames)
	sorted = slices.CompactFunc(sorted, sameName)
	return List{hosts: sorted}
}

// Len returns the number of hosts.
func (l List) Len() int { return len(l.hosts) }

// All returns the hosts ordered by name. Callers must not change the slice.
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
