package naming_test

import (
	"fmt"
	"net/netip"
	"testing"

	"currantport.example/core/hosts"
	"currantport.example/core/member"
	"currantport.example/entry/internal/naming"
)

func entry(i int, domain string, state hosts.State, ready bool) member.Member {
	m := member.Member{ClientAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80), Ready: ready}
	m.Name, m.State = hosts.Name(fmt.Sprint(i)), state
	m.Place = hosts.Place{Domain: hosts.Domain(domain), Region: hosts.Region("r" + domain)}
	return m
}

func TestLocalServingEntriesAreChosen(t *testing.T) {
	at := hosts.Place{Domain: "a", Region: "ra"}
	for name, c := range map[string]struct {
		all   []member.Member
		homes []hosts.Region
		want  int
	}{
		"enough local ones": {[]member.Member{
			entry(0, "a", hosts.StateLive, true), entry(1, "a", hosts.StateLive, true), entry(2, "b", hosts.StateLive, true),
		}, nil, 2},
		"one is draining": {[]member.Member{
			entry(0, "a", hosts.StateLive, true), entry(1, "a", hosts.StateLeaving, true), entry(2, "b", hosts.StateLive, true),
		}, nil, 2},
		"one isn't ready": {[]member.Member{entry(0, "a", hosts.StateLive, false), entry(2, "b", hosts.StateLive, true)}, nil, 1},
		"nobody":          {nil, nil, 0},
		// A client that needs a second address is referred to the homes only.
		"homes elsewhere": {[]member.Member{
			entry(0, "a", hosts.StateLive, true), entry(1, "b", hosts.StateLive, true), entry(2, "c", hosts.StateLive, true),
		}, []hosts.Region{"rb"}, 2},
		"the only entries are outside the homes": {[]member.Member{entry(1, "b", hosts.StateLive, true)}, []hosts.Region{"rc"}, 1},
	} {
		if got := naming.Choose(c.all, at, c.homes); len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
	var many []member.Member
	for i := range 100 {
		many = append(many, entry(i, "a", hosts.StateLive, true))
	}
	if got := naming.Choose(many, at, nil); len(got) != naming.MaxAddresses {
		t.Errorf("%d addresses", len(got))
	}
}
