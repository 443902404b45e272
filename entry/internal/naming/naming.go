// Package naming decides which entries callers are told to use. It does no I/O.
package naming

import (
	"net/netip"

	"currantport.example/core/hosts"
	"currantport.example/core/member"
)

const (
	// MaxAddresses is the number of addresses that callers take.
	MaxAddresses = 64
	// nearLeast is the number of entries of the caller's own failure domain that are
	// enough for it. With fewer, the loss of one would leave callers without any.
	nearLeast = 2
)

// Choose returns the addresses for a caller at a place: those of the entries of its
// failure domain, and of others while these are few. Entries that leave, start or
// have an old copy of the platform's rows aren't named.
//
// It answers a load that is spread by the callers themselves, each of which draws one
// of the addresses for each connection: near entries spare time and bytes on the links
// between regions, and every caller keeps an address if one entry is lost.
func Choose(members []member.Member, at hosts.Place) []netip.AddrPort {
	var near, region, far []netip.AddrPort
	for _, m := range members {
		switch {
		case m.State != hosts.StateLive || !m.Ready:
		case m.Place.Domain == at.Domain:
			near = append(near, m.ClientAddress)
		case m.Place.Region == at.Region:
			region = append(region, m.ClientAddress)
		default:
			far = append(far, m.ClientAddress)
		}
	}
	all := near
	for _, others := range [][]netip.AddrPort{region, far} {
		if len(all) < nearLeast {
			all = append(all, others...)
		}
	}
	return all[:min(len(all), MaxAddresses)]
}
