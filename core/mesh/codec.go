package mesh

import (
	"net/netip"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/member"
	"currantport.example/core/wire"
)

func encodeMember(m member.Member) *wire.MemberRecord {
	return &wire.MemberRecord{
		Name: string(m.Name), Region: string(m.Place.Region), Domain: string(m.Place.Domain), Role: string(m.Role),
		State: string(m.State), Address: m.Address.String(), Front: m.ClientAddress.String(),
		Incarnation: m.Incarnation, Beat: m.Heartbeat, Ready: m.Ready,
	}
}

func decodeMember(r *wire.MemberRecord) (member.Member, bool) {
	if r == nil || r.Name == "" {
		return member.Member{}, false
	}
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return member.Member{}, false
	}
	clientAddress, err := netip.ParseAddrPort(r.Front)
	if err != nil {
		return member.Member{}, false
	}
	m := member.Member{ClientAddress: clientAddress, Ready: r.Ready, Incarnation: r.Incarnation, Heartbeat: r.Beat, Age: -1}
	if r.Age != nil {
		m.Age = time.Duration(max(r.GetAge(), 0)) * time.Millisecond
	}
	m.Host = hosts.Host{
		Name: hosts.Name(r.Name), Place: hosts.Place{Region: hosts.Region(r.Region), Domain: hosts.Domain(r.Domain)},
		Role: hosts.Role(r.Role), State: hosts.State(r.State), Address: address,
	}
	return m, m.State == hosts.StateLive || m.State == hosts.StateLeaving
}

func encodeSuspicions(all []member.Suspicion) []*wire.Suspicion {
	var encoded []*wire.Suspicion
	for _, s := range all {
		w := &wire.Suspicion{Name: string(s.Name), Incarnation: s.Incarnation, Age: s.Age.Milliseconds()}
		for _, name := range s.Reporters {
			w.Reporters = append(w.Reporters, string(name))
		}
		encoded = append(encoded, w)
	}
	return encoded
}

func decodeSuspicions(all []*wire.Suspicion) []member.Suspicion {
	var decoded []member.Suspicion
	for _, w := range all {
		s := member.Suspicion{Name: hosts.Name(w.Name), Incarnation: w.Incarnation, Age: time.Duration(max(w.Age, 0)) * time.Millisecond}
		for _, name := range w.Reporters {
			s.Reporters = append(s.Reporters, hosts.Name(name))
		}
		decoded = append(decoded, s)
	}
	return decoded
}
