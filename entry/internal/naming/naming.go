// Package naming chooses the entry addresses that are published to clients. It does no I/O.
package naming

import (
	"net/netip"
	"slices"

	"currantport.example/core/hosts"
	"currantport.example/core/member"
)

const (
	// MaxAddresses is the number of addresses that clients accept.
	MaxAddresses = 64
	// minLocal is the number of entries that suffice in the client's own failure domain.
	// With fewer, the loss of one would leave clients without any.
	minLocal = 2
)

// Choose returns the addresses for clients at a place: those of the entries of their
// failure domain, and of others if there are fewer than two. Entries that are draining,
// starting or have a stale replica of the platform's rows are left out. Homes are the regions
// in which the requests should stay, or empty for any. Entries of other regions are named only
// if there is no entry in the homes or in the client's region: they forward to the homes.
//
// Clients spread the load themselves: each draws one of the addresses for each connection.
// Entries close to the client save time and traffic on the links between regions, and every
// client still has an address if one entry is lost.
func Choose(members []member.Member, at hosts.Place, homes []hosts.Region) []netip.AddrPort {
	var local, region, home, remote []netip.AddrPort
	for _, m := range members {
		switch {
		case m.State != hosts.StateLive || !m.Ready:
		case m.Place.Domain == at.Domain:
			local = append(local, m.ClientAddress)
		case m.Place.Region == at.Region:
			region = append(region, m.ClientAddress)
		case slices.Contains(homes, m.Place.Region):
			home = append(home, m.ClientAddress)
		default:
			remote = append(remote, m.ClientAddress)
		}
	}
	all := local
	for _, others := range [][]netip.AddrPort{region, home} {
		if len(all) < minLocal {
			all = append(all, others...)
		}
	}
	if len(all) == 0 || len(homes) == 0 && len(all) < minLocal {
		all = append(all, remote...)
	}
	return all[:min(len(all), MaxAddresses)]
}
