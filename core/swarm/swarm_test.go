package swarm_test

import (
	"fmt"
	"testing"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/swarm"
	"currantport.example/core/tables"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// member returns a host of a region.
func member(i int, region hosts.Region) hosts.Host {
	return hosts.Host{Name: hosts.Name(fmt.Sprintf("h%02d", i)), Place: hosts.Place{Region: region, Domain: hosts.Domain(region)}}
}

func members(count int) []hosts.Host {
	var all []hosts.Host
	for i := range count {
		all = append(all, member(i, "one"))
	}
	return all
}

func options(self hosts.Host, pieces int) swarm.Options {
	o := swarm.Options{Self: self, Favor: tables.FavorOrigin, Seed: 1}
	for i := range pieces {
		o.Pieces = append(o.Pieces, swarm.Piece{Key: uint64(i+1) * 0x9E3779B97F4A7C15, Size: 1 << 20})
	}
	return o
}

func kinds(actions []swarm.Action, k swarm.Kind) (found []swarm.Action) {
	for _, a := range actions {
		if a.Kind == k {
			found = append(found, a)
		}
	}
	return found
}

func TestEachPieceIsBroughtByOneHost(t *testing.T) {
	all := members(9)
	brought := map[int]int{}
	for _, self := range all {
		s := swarm.New(options(self, 6))
		s.SetMembers(all)
		for i := range 4 {
			now := start.Add(time.Duration(i) * swarm.DecideInterval)
			for _, a := range kinds(s.Decide(now), swarm.KindFetchSource) {
				brought[a.Piece]++
			}
		}
	}
	for i := range 6 {
		if brought[i] > 1 {
			t.Errorf("piece %d was brought by %d hosts", i, brought[i])
		}
	}
}

// follower returns the state of a host that isn't the first rank of piece 0,
// with the neighbours that it watches.
func follower(t *testing.T, pieces int) (*swarm.Scheduler, []hosts.Name) {
	t.Helper()
	all := members(5)
	for _, self := range all {
		s := swarm.New(options(self, pieces))
		s.SetMembers(all)
		actions := s.Decide(start)
		if len(kinds(actions, swarm.KindFetchSource)) > 0 {
			continue
		}
		var names []hosts.Name
		for _, a := range kinds(actions, swarm.KindWatch) {
			names = append(names, a.Peer)
		}
		return s, names
	}
	t.Fatal("every host brings a piece")
	return nil, nil
}

func full(count int) swarm.Holdings {
	o := swarm.Holdings{Full: true, Held: swarm.NewBits(count)}
	for i := range count {
		o.Held.Set(i)
	}
	return o
}

func TestPeersThatFailArePassedOver(t *testing.T) {
	for _, c := range []swarm.Cause{swarm.CauseCorrupt, swarm.CauseMissing, swarm.CauseUnavailable} {
		t.Run(string(c), func(t *testing.T) {
			s, names := follower(t, 1)
			bad, good := names[0], names[1]
			s.ReceiveHoldings(start, bad, full(1))
			asks := kinds(s.Decide(start), swarm.KindFetchPeer)
			if len(asks) != 1 || asks[0].Peer != bad {
				t.Fatalf("asks %v", asks)
			}
			s.RecordFailure(start, bad, 0, c, 0)
			s.ReceiveHoldings(start, bad, full(1))
			s.ReceiveHoldings(start, good, full(1))
			asks = kinds(s.Decide(start.Add(time.Second)), swarm.KindFetchPeer)
			if len(asks) != 1 || asks[0].Peer != good {
				t.Errorf("after %s the next asks are %v", c, asks)
			}
		})
	}
}

func TestRarestPieceComesFirst(t *testing.T) {
	_, names := follower(t, 1)
	o := options(member(77, "one"), 40)
	o.Limits = swarm.Limits{Window: 1}
	s := swarm.New(o)
	s.SetMembers(append(members(5), o.Self))
	s.Decide(start)
	common := full(40)
	common.Held.Clear(7)
	s.ReceiveHoldings(start, names[0], common)
	first := kinds(s.Decide(start), swarm.KindFetchPeer)[0]
	s.ReceiveHoldings(start, names[1], full(40))
	s.ReceiveHoldings(start, names[2], common)
	s.RecordArrival(start, first.Peer, first.Piece, swarm.Timing{Took: time.Second})
	asks := kinds(s.Decide(start.Add(time.Second)), swarm.KindFetchPeer)
	if len(asks) == 0 || asks[0].Piece != 7 {
		t.Errorf("asks %v", asks)
	}
}

func TestPacerGivesWayToTraffic(t *testing.T) {
	p := swarm.NewPacer()
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		p.RecordDelay(now, 20*time.Millisecond)
	}
	free := p.Window()
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		p.RecordDelay(now, 400*time.Millisecond)
	}
	if busy := p.Window(); free < 8 || busy > 1 {
		t.Errorf("the window is %.1f on a free link and %.1f on a busy one", free, busy)
	}
}

// relay is a fleet in which hosts reach each other only to ask the earlier ranks.
type relay struct {
	swarms map[hosts.Name]*swarm.Scheduler
	// cause is how those that aren't in swarms answer.
	cause swarm.Cause
	// brought maps a host to when it has read the piece.
	brought map[hosts.Name]time.Time
}

// answer answers an ask for the only piece.
func (r *relay) answer(now time.Time, from hosts.Name, a swarm.Action) {
	s := r.swarms[from]
	if r.swarms[a.Peer] == nil {
		s.RecordFailure(now, a.Peer, a.Piece, r.cause, 0)
		return
	}
	if at, ok := r.brought[a.Peer]; ok && !now.Before(at) {
		s.RecordArrival(now, a.Peer, a.Piece, swarm.Timing{Took: time.Millisecond})
		return
	}
	s.RecordFailure(now, a.Peer, a.Piece, swarm.CauseMissing, 0)
}

// step takes the decisions of a host. To read the piece takes two seconds.
func (r *relay) step(now time.Time, name hosts.Name) {
	s := r.swarms[name]
	if at, ok := r.brought[name]; ok && !now.Before(at) {
		s.RecordLocal(now, 0)
	}
	for _, a := range s.Decide(now) {
		switch a.Kind {
		case swarm.KindFetchSource:
			r.brought[name] = now.Add(2 * time.Second)
		case swarm.KindFetchPeer:
			r.answer(now, name, a)
		}
	}
}

func TestLaterRanksBringOneAfterAnother(t *testing.T) {
	all := members(30)
	for _, c := range []swarm.Cause{swarm.CauseFailing, swarm.CauseUnavailable} {
		for _, alive := range []int{25, 10, 3, 1} {
			t.Run(fmt.Sprintf("%s-%d", c, alive), func(t *testing.T) {
				r := &relay{swarms: map[hosts.Name]*swarm.Scheduler{}, cause: c, brought: map[hosts.Name]time.Time{}}
				for _, h := range all[:alive] {
					r.swarms[h.Name] = swarm.New(options(h, 1))
					r.swarms[h.Name].SetMembers(all)
				}
				for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(swarm.DecideInterval) {
					for _, h := range all[:alive] {
						r.step(now, h.Name)
					}
				}
				if len(r.brought) != 1 {
					t.Errorf("%d hosts read the piece", len(r.brought))
				}
			})
		}
	}
}

func TestHostThatStartsListensOn(t *testing.T) {
	for _, self := range members(5) {
		s := swarm.New(options(self, 40))
		s.SetMembers(members(5))
		neighbour := kinds(s.Decide(start), swarm.KindWatch)[0].Peer
		s.ReceiveHoldings(start, neighbour, swarm.Holdings{Full: true, Held: swarm.NewBits(40)})
		for _, wait := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			if found := kinds(s.Decide(start.Add(wait)), swarm.KindFetchSource); len(found) > 0 {
				t.Errorf("%s after a report of nothing %s brings %v", wait, self.Name, found)
			}
		}
	}
}

func TestRegionWaitsForTheOneBefore(t *testing.T) {
	home := member(0, "one")
	for _, c := range []struct {
		name string
		// answer is what the bringer of the home region says, if anything.
		answer swarm.Cause
		wait   time.Duration
		reads  bool
	}{
		{"bringer is at it", swarm.CauseMissing, 25 * time.Second, false},
		{"bringer is silent", swarm.CauseUnavailable, 25 * time.Second, true},
		{"bringer puts it off for good", swarm.CauseMissing, 5 * time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := options(member(1, "two"), 1)
			o.SourceRegion = "one"
			s := swarm.New(o)
			s.SetMembers([]hosts.Host{home, o.Self})
			calls, brought := 0, 0
			for now := start; now.Before(start.Add(c.wait)); now = now.Add(swarm.DecideInterval) {
				for _, a := range s.Decide(now) {
					switch a.Kind {
					case swarm.KindFetchPeer:
						calls++
						s.RecordFailure(now, a.Peer, a.Piece, c.answer, 0)
					case swarm.KindFetchSource:
						brought++
					}
				}
			}
			if calls == 0 || brought > 0 != c.reads {
				t.Errorf("%d calls, %d reads", calls, brought)
			}
		})
	}
}

func TestHostThatHearsLateBringsAtOnce(t *testing.T) {
	found := 0
	for _, self := range members(5) {
		s := swarm.New(options(self, 80))
		s.SetMembers(members(5))
		neighbour := kinds(s.Decide(start), swarm.KindWatch)[0].Peer
		s.ReceiveHoldings(start, neighbour, swarm.Holdings{Full: true, Held: swarm.NewBits(80)})
		s.Decide(start.Add(13 * time.Second))
		s.ReceiveHoldings(start.Add(14*time.Second), neighbour, swarm.Holdings{Frontier: 70})
		for i := range 40 {
			s.RecordLocal(start.Add(14*time.Second), i)
		}
		for _, a := range kinds(s.Decide(start.Add(14*time.Second)), swarm.KindFetchSource) {
			if a.Piece >= 40 && a.Piece < 70 {
				found++
			}
		}
	}
	if found == 0 {
		t.Error("no piece that the fleet passed is brought at once")
	}
}
