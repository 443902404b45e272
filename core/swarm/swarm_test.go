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

// member returns host i of a region.
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

func actionsOfKind(actions []swarm.Action, k swarm.Kind) (found []swarm.Action) {
	for _, a := range actions {
		if a.Kind == k {
			found = append(found, a)
		}
	}
	return found
}

func TestOneHostFetchesEachPieceFromSource(t *testing.T) {
	all := members(9)
	fetches := map[int]int{}
	for _, self := range all {
		s := swarm.New(options(self, 6))
		s.SetMembers(all)
		for i := range 4 {
			now := start.Add(time.Duration(i) * swarm.DecideInterval)
			for _, a := range actionsOfKind(s.Decide(now), swarm.KindFetchSource) {
				fetches[a.Piece]++
			}
		}
	}
	for i := range 6 {
		if fetches[i] > 1 {
			t.Errorf("piece %d was fetched by %d hosts", i, fetches[i])
		}
	}
}

// follower returns the scheduler of a host that isn't the first rank of piece 0, and the
// neighbors that it watches.
func follower(t *testing.T, pieces int) (*swarm.Scheduler, []hosts.Name) {
	t.Helper()
	all := members(5)
	for _, self := range all {
		s := swarm.New(options(self, pieces))
		s.SetMembers(all)
		actions := s.Decide(start)
		if len(actionsOfKind(actions, swarm.KindFetchSource)) > 0 {
			continue
		}
		var names []hosts.Name
		for _, a := range actionsOfKind(actions, swarm.KindWatch) {
			names = append(names, a.Peer)
		}
		return s, names
	}
	t.Fatal("every host fetches a piece from the source")
	return nil, nil
}

func fullHoldings(count int) swarm.Holdings {
	o := swarm.Holdings{Full: true, Held: swarm.NewBits(count)}
	for i := range count {
		o.Held.Set(i)
	}
	return o
}

func TestFailedPeersAreSkipped(t *testing.T) {
	for _, c := range []swarm.Cause{swarm.CauseCorrupt, swarm.CauseMissing, swarm.CauseUnavailable} {
		t.Run(string(c), func(t *testing.T) {
			s, names := follower(t, 1)
			bad, good := names[0], names[1]
			s.ReceiveHoldings(start, bad, fullHoldings(1))
			requests := actionsOfKind(s.Decide(start), swarm.KindFetchPeer)
			if len(requests) != 1 || requests[0].Peer != bad {
				t.Fatalf("requests %v", requests)
			}
			s.RecordFailure(start, bad, 0, c, 0)
			s.ReceiveHoldings(start, bad, fullHoldings(1))
			s.ReceiveHoldings(start, good, fullHoldings(1))
			requests = actionsOfKind(s.Decide(start.Add(time.Second)), swarm.KindFetchPeer)
			if len(requests) != 1 || requests[0].Peer != good {
				t.Errorf("after %s the next requests are %v", c, requests)
			}
		})
	}
}

func TestRarestPieceIsRequestedFirst(t *testing.T) {
	_, names := follower(t, 1)
	o := options(member(77, "one"), 40)
	o.Limits = swarm.Limits{Window: 1}
	s := swarm.New(o)
	s.SetMembers(append(members(5), o.Self))
	s.Decide(start)
	common := fullHoldings(40)
	common.Held.Clear(7)
	s.ReceiveHoldings(start, names[0], common)
	first := actionsOfKind(s.Decide(start), swarm.KindFetchPeer)[0]
	s.ReceiveHoldings(start, names[1], fullHoldings(40))
	s.ReceiveHoldings(start, names[2], common)
	s.RecordArrival(start, first.Peer, first.Piece, swarm.Timing{Took: time.Second})
	requests := actionsOfKind(s.Decide(start.Add(time.Second)), swarm.KindFetchPeer)
	if len(requests) == 0 || requests[0].Piece != 7 {
		t.Errorf("requests %v", requests)
	}
}

func TestPacerYieldsToTraffic(t *testing.T) {
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
		t.Errorf("the window is %.1f on an idle link and %.1f on a busy one", free, busy)
	}
}

// rankTrial is a fleet in which hosts reach each other only to probe the earlier ranks.
type rankTrial struct {
	schedulers map[hosts.Name]*swarm.Scheduler
	// cause is how hosts without a scheduler fail.
	cause swarm.Cause
	// fetchedAt maps a host to the time at which it has read the piece from the source.
	fetchedAt map[hosts.Name]time.Time
}

// respond ends a request for the only piece.
func (r *rankTrial) respond(now time.Time, from hosts.Name, a swarm.Action) {
	s := r.schedulers[from]
	if r.schedulers[a.Peer] == nil {
		s.RecordFailure(now, a.Peer, a.Piece, r.cause, 0)
		return
	}
	if at, ok := r.fetchedAt[a.Peer]; ok && !now.Before(at) {
		s.RecordArrival(now, a.Peer, a.Piece, swarm.Timing{Took: time.Millisecond})
		return
	}
	s.RecordFailure(now, a.Peer, a.Piece, swarm.CauseMissing, 0)
}

// step executes the decisions of a host. Reading the piece from the source takes two
// seconds.
func (r *rankTrial) step(now time.Time, name hosts.Name) {
	s := r.schedulers[name]
	if at, ok := r.fetchedAt[name]; ok && !now.Before(at) {
		s.RecordLocal(now, 0)
	}
	for _, a := range s.Decide(now) {
		switch a.Kind {
		case swarm.KindFetchSource:
			r.fetchedAt[name] = now.Add(2 * time.Second)
		case swarm.KindFetchPeer:
			r.respond(now, name, a)
		}
	}
}

func TestLaterRanksTakeOverOneAfterAnother(t *testing.T) {
	all := members(30)
	for _, c := range []swarm.Cause{swarm.CauseFailing, swarm.CauseUnavailable} {
		for _, alive := range []int{25, 10, 3, 1} {
			t.Run(fmt.Sprintf("%s-%d", c, alive), func(t *testing.T) {
				r := &rankTrial{schedulers: map[hosts.Name]*swarm.Scheduler{}, cause: c, fetchedAt: map[hosts.Name]time.Time{}}
				for _, h := range all[:alive] {
					r.schedulers[h.Name] = swarm.New(options(h, 1))
					r.schedulers[h.Name].SetMembers(all)
				}
				for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(swarm.DecideInterval) {
					for _, h := range all[:alive] {
						r.step(now, h.Name)
					}
				}
				if len(r.fetchedAt) != 1 {
					t.Errorf("%d hosts fetched the piece", len(r.fetchedAt))
				}
			})
		}
	}
}

func TestStartingHostWaitsForFurtherReports(t *testing.T) {
	for _, self := range members(5) {
		s := swarm.New(options(self, 40))
		s.SetMembers(members(5))
		neighbor := actionsOfKind(s.Decide(start), swarm.KindWatch)[0].Peer
		s.ReceiveHoldings(start, neighbor, swarm.Holdings{Full: true, Held: swarm.NewBits(40)})
		for _, wait := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			if found := actionsOfKind(s.Decide(start.Add(wait)), swarm.KindFetchSource); len(found) > 0 {
				t.Errorf("%s after an empty report, %s fetches %v", wait, self.Name, found)
			}
		}
	}
}

func TestRegionWaitsForPrecedingRegion(t *testing.T) {
	self := member(0, "one")
	for _, c := range []struct {
		name string
		// response is the cause that the remote fetcher responds with.
		response swarm.Cause
		wait     time.Duration
		fetches  bool
	}{
		{"fetcher waits for the piece", swarm.CauseMissing, 25 * time.Second, false},
		{"fetcher is unavailable", swarm.CauseUnavailable, 25 * time.Second, true},
		{"fetcher never has the piece", swarm.CauseMissing, 5 * time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := options(member(1, "two"), 1)
			o.SourceRegion = "one"
			s := swarm.New(o)
			s.SetMembers([]hosts.Host{self, o.Self})
			queries, fetches := 0, 0
			for now := start; now.Before(start.Add(c.wait)); now = now.Add(swarm.DecideInterval) {
				for _, a := range s.Decide(now) {
					switch a.Kind {
					case swarm.KindFetchPeer:
						queries++
						s.RecordFailure(now, a.Peer, a.Piece, c.response, 0)
					case swarm.KindFetchSource:
						fetches++
					}
				}
			}
			if queries == 0 || fetches > 0 != c.fetches {
				t.Errorf("%d queries, %d fetches", queries, fetches)
			}
		})
	}
}

func TestHostWithLateReportFetchesAtOnce(t *testing.T) {
	found := 0
	for _, self := range members(5) {
		s := swarm.New(options(self, 80))
		s.SetMembers(members(5))
		neighbor := actionsOfKind(s.Decide(start), swarm.KindWatch)[0].Peer
		s.ReceiveHoldings(start, neighbor, swarm.Holdings{Full: true, Held: swarm.NewBits(80)})
		s.Decide(start.Add(13 * time.Second))
		s.ReceiveHoldings(start.Add(14*time.Second), neighbor, swarm.Holdings{Frontier: 70})
		for i := range 40 {
			s.RecordLocal(start.Add(14*time.Second), i)
		}
		for _, a := range actionsOfKind(s.Decide(start.Add(14*time.Second)), swarm.KindFetchSource) {
			if a.Piece >= 40 && a.Piece < 70 {
				found++
			}
		}
	}
	if found == 0 {
		t.Error("no piece that the fleet passed is fetched at once")
	}
}
