package relay_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/memnet"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/tables"
	"currantport.example/core/trial"
)

// silentPlatform never responds.
type silentPlatform struct{}

func (silentPlatform) Read(ctx context.Context, _ tables.Kind) (tables.Value, error) {
	<-ctx.Done()
	return tables.Value{}, ctx.Err()
}

func (silentPlatform) Watch(ctx context.Context, _ tables.Kind, _ tables.Revision) (tables.Value, error) {
	<-ctx.Done()
	return tables.Value{}, ctx.Err()
}

// pair connects one entry and one agent over a network in memory.
type pair struct {
	network *memnet.Network
	up      *memnet.Link
	down    *memnet.Link
	list    []hosts.Host
	active  []*tables.Active
	stops   []func()
}

func newPair(t testing.TB, source *fakePlatform) *pair {
	t.Helper()
	p := &pair{up: &memnet.Link{}, down: &memnet.Link{}, list: source.list}
	p.network = memnet.New(func(from, _ netip.Addr) memnet.Path {
		if from == p.list[1].Address.Addr() {
			return memnet.Path{Delay: oneWay, Links: []*memnet.Link{p.up}}
		}
		return memnet.Path{Delay: oneWay, Links: []*memnet.Link{p.down}}
	})
	for i, h := range p.list {
		p.add(t, source, i, h)
	}
	return p
}

func (p *pair) add(t testing.TB, source *fakePlatform, i int, h hosts.Host) {
	t.Helper()
	client, closeIdle := links.NewPeerClient(p.network.Dialer(h.Address.Addr()))
	active := &tables.Active{}
	var reader tables.Source = source
	if i == 1 {
		reader = silentPlatform{}
	}
	n, stop := relay.NewNode(relay.Options{
		Self: relay.Self{Host: h.Name, Place: h.Place, Role: h.Role}, Active: active, Roster: roster.New(), TableSource: reader, HostSource: source,
		Client: relay.NewClient(client), Processes: 2, Trail: audit.NewTrail(zap.NewNop()), Log: zap.NewNop(),
	})
	r := mux.NewRouter()
	path, handler := relay.NewHandler(n)
	r.PathPrefix(path).Handler(handler)
	l, err := p.network.Listen(h.Address)
	if err != nil {
		t.Fatal(err)
	}
	p.active = append(p.active, active)
	p.stops = append(p.stops, stop, closeIdle, links.Serve(l, r, zap.NewNop(), time.Second))
}

func (p *pair) stop() {
	for _, s := range p.stops {
		s()
	}
}

// A connection that stops carrying data without being closed is replaced before a
// change is late.
func TestRelayOverASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(1, 1, 1, 1)
		source := newFakePlatform(trial.NewScript(nil), list)
		p := newPair(t, source)
		defer p.stop()
		for revision := range tables.Revision(4) {
			source.publish(tables.KindPools, poolsOf(t, list, 1, fmt.Sprint(revision)))
			time.Sleep(activationLimit)
			if got := p.active[1].Revision(tables.KindPools); got != revision+1 {
				t.Errorf("the agent holds revision %d, want %d", got, revision+1)
			}
			p.network.SilenceOpen(list[0].Address.Addr(), list[1].Address.Addr())
		}
		time.Sleep(2 * links.SilenceTimeout)
	})
}

// processorTime returns the CPU time that the test process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPair measures the bytes per second between an agent and the entry that
// feeds it, including all framing above TCP, and the share of a core that both ends
// use together.
func BenchmarkPair(b *testing.B) {
	for range b.N {
		for _, changes := range []int{0, changesPerDay} {
			var up, down int64
			var used time.Duration
			synctest.Test(&testing.T{}, func(*testing.T) {
				list := fleetOf(1, 1, 1, 1)
				source := newFakePlatform(trial.NewScript(nil), list)
				p := newPair(b, source)
				time.Sleep(10 * time.Second)
				up, down = p.up.Bytes(), p.down.Bytes()
				used = processorTime()
				for i, start := 0, time.Now(); time.Since(start) < steadyTime; i++ {
					if changes > 0 && i%2 == 0 {
						source.publish(tables.KindRoutes, routesOf(b, fmt.Sprint("route-", i)))
					} else if changes > 0 {
						source.publish(tables.KindPools, poolsOf(b, list, 1, fmt.Sprint(i)))
					}
					time.Sleep(min(24*time.Hour/time.Duration(max(changes, 1)), steadyTime))
				}
				used = processorTime() - used
				up, down = p.up.Bytes()-up, p.down.Bytes()-down
				p.stop()
			})
			seconds := int64(steadyTime / time.Second)
			fmt.Fprintf(os.Stdout, "bench=pair changes=%d up=%d down=%d bytes=%d core=%.4f%%\n", changes, up/seconds, down/seconds, (up+down)/seconds,
				100*used.Seconds()/steadyTime.Seconds())
		}
	}
}
