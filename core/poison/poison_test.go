package poison_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/poison"
	"currantport.example/core/wire"
)

var (
	epoch    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	crashing = poison.FingerprintOf(calls.Request{Body: []byte("poison")})
)

func TestRegistryMerges(t *testing.T) {
	var source poison.Registry
	lost := []poison.Mark{source.RecordLoss(epoch, crashing, "one"), source.RecordLoss(epoch, crashing, "two")}
	cleared := source.Clear(epoch, crashing)
	later := epoch.Add(time.Hour)
	cases := map[string]struct {
		marks []poison.Mark
		at    time.Time
		want  poison.Status
	}{
		"none":          {nil, epoch, poison.StatusClear},
		"one":           {lost[:1], epoch, poison.StatusSuspect},
		"repeated":      {[]poison.Mark{lost[0], lost[0]}, epoch, poison.StatusSuspect},
		"two":           {lost, epoch, poison.StatusQuarantined},
		"expired":       {lost, later, poison.StatusClear},
		"cleared":       {append(lost, cleared...), epoch, poison.StatusClear},
		"cleared-first": {append(cleared, lost...), epoch, poison.StatusClear},
		"far-expiry":    {[]poison.Mark{{Fingerprint: crashing, LossID: "x", ExpiresAt: later.Add(time.Hour)}}, later.Add(-time.Minute), poison.StatusClear},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var r poison.Registry
			r.Merge(epoch, c.marks...)
			if v, _ := r.Evaluate(c.at, crashing); v != c.want {
				t.Errorf("status %d, want %d", v, c.want)
			}
		})
	}
}

func TestRegistryIsBounded(t *testing.T) {
	var r poison.Registry
	for i := range 5000 {
		r.RecordLoss(epoch, poison.FingerprintOf(calls.Request{Body: []byte(fmt.Sprint(i))}), "one")
	}
	if n := len(r.ActiveMarks(epoch)); n != 4096 {
		t.Errorf("%d marks", n)
	}
}

type entry struct {
	host        hosts.Host
	registry    *poison.SharedRegistry
	broadcaster *poison.Broadcaster
}

type roster struct{ list hosts.List }

func (r *roster) Now() hosts.List { return r.list }

// TestMarksReachEveryEntry checks that a mark reaches every reachable entry at once, and
// reaches an entry that was cut off through the later exchange.
func TestMarksReachEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, r := memnet.New(nil), &roster{}
		var all []*entry
		var listed []hosts.Host
		for i := range 4 {
			h := hosts.Host{
				Name: hosts.Name(fmt.Sprint("entry-", i)), Role: hosts.RoleEntry,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
			}
			listed = append(listed, h)
			all = append(all, &entry{host: h, registry: poison.NewSharedRegistry(audit.NewTrail(zap.NewNop()))})
		}
		r.list = hosts.NewList(listed)
		for _, e := range all {
			e.start(t, n, r)
		}
		n.Silence(all[0].host.Address.Addr(), all[3].host.Address.Addr())
		all[0].broadcaster.Broadcast(all[0].registry.RecordLoss(crashing, "one"))
		time.Sleep(100 * time.Millisecond)
		for i, e := range all[:3] {
			if v, _ := e.registry.Evaluate(crashing); v != poison.StatusSuspect {
				t.Errorf("entry %d: status %d", i, v)
			}
		}
		time.Sleep(time.Minute)
		if v, _ := all[3].registry.Evaluate(crashing); v != poison.StatusSuspect {
			t.Errorf("the entry that was cut off: status %d", v)
		}
		var status wire.StatusReply
		all[3].registry.Report(&status)
		if len(status.Facts) != 1 || status.Facts[0].Name != "suspect" {
			t.Errorf("the status reply has the facts %v", status.Facts)
		}
	})
}

func (e *entry) start(t *testing.T, n *memnet.Network, r *roster) {
	t.Helper()
	client, closeIdle := links.NewPeerClient(n.Dialer(e.host.Address.Addr()))
	var stop func()
	e.broadcaster, stop = poison.NewBroadcaster(poison.BroadcasterOptions{
		Host: e.host.Name, Registry: e.registry, Roster: r, Client: client, Exchange: true, Log: zap.NewNop(),
	})
	l, err := n.Listen(e.host.Address)
	if err != nil {
		t.Fatal(err)
	}
	router := mux.NewRouter()
	path, handler := wire.NewBlamesHandler(e.broadcaster)
	router.PathPrefix(path).Handler(handler)
	stopServer := links.Serve(l, router, zap.NewNop(), time.Second)
	t.Cleanup(func() {
		stop()
		closeIdle()
		stopServer()
	})
}
