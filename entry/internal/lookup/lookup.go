// Package lookup tracks which other entries may be named to clients.
//
// An entry long-polls its neighbors to detect whether they are leaving, so that a drain is
// known at once. A neighbor that doesn't respond isn't named. One that is missing from the
// list of hosts is named as long as it responds.
package lookup

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"currantport.example/core/hosts"
	"currantport.example/core/picker"
	"currantport.example/core/shell"
	"currantport.example/core/wire"
)

const (
	longPollTimeout = 2 * time.Second
	// ProbeTimeout bounds a probe, and thus how long a leaving entry may still be named by
	// one that can't reach it.
	ProbeTimeout = 3 * time.Second
	// pollInterval is the time between two reads of the list of hosts, and the backoff
	// after a failed probe.
	pollInterval = 500 * time.Millisecond
)

// Roster lists the hosts of the fleet.
type Roster interface {
	Now() hosts.List
}

// Lookup holds the state of the neighbors of an entry. It is safe for concurrent use.
type Lookup struct {
	self   hosts.Host
	roster Roster
	client *http.Client
	log    *zap.Logger

	mutex sync.Mutex
	// neighbors is keyed by the name of the entry.
	neighbors map[hosts.Name]*neighbor
}

// neighbor is one probed entry. It is guarded by the mutex of Lookup.
type neighbor struct {
	lookup *Lookup
	host   hosts.Host
	// available is set if the last probe succeeded and the neighbor isn't leaving.
	available bool
	// leaving is set if the last probe succeeded and the neighbor is leaving.
	leaving bool
	// stop ends the probes.
	stop context.CancelFunc
}

// New returns a lookup that probes the neighbors until the clean-up function is called.
func New(self hosts.Host, roster Roster, client *http.Client, log *zap.Logger) (*Lookup, func()) {
	l := &Lookup{self: self, roster: roster, client: client, log: log, neighbors: make(map[hosts.Name]*neighbor)}
	g := shell.NewGroup()
	g.Go(l.run)
	return l, g.Stop
}

// Available returns the neighbors that may be named to clients, in random order but those of
// the same region first.
func (l *Lookup) Available() []hosts.Host {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var available []hosts.Host
	for _, n := range l.neighbors {
		if n.available && n.host.State != hosts.StateLeaving {
			available = append(available, n.host)
		}
	}
	rand.Shuffle(len(available), func(i, j int) { available[i], available[j] = available[j], available[i] })
	slices.SortStableFunc(available, l.compareDistance)
	return available
}

func (l *Lookup) compareDistance(a, b hosts.Host) int {
	return cmp.Compare(regionDistance(l.self.Place, a.Place), regionDistance(l.self.Place, b.Place))
}

// regionDistance treats all failure domains of a region as equally near, so that clients spread
// over them.
func regionDistance(a, b hosts.Place) int {
	if a.Region == b.Region {
		return 0
	}
	return 1
}

// run starts and stops probers as the list of hosts changes.
func (l *Lookup) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		for _, n := range l.refresh(ctx) {
			group.Go(n.run)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

// refresh updates the neighbors, stops the probers of removed ones and returns those of new
// ones.
func (l *Lookup) refresh(ctx context.Context) []*prober {
	desired := picker.Neighbors(l.self, l.entries())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, n := range l.neighbors {
		if !slices.ContainsFunc(desired, func(h hosts.Host) bool { return h.Name == name && h.Address == n.host.Address }) {
			n.stop()
			delete(l.neighbors, name)
		}
	}
	var added []*prober
	for _, h := range desired {
		if n := l.neighbors[h.Name]; n != nil {
			n.host = h
			continue
		}
		child, stop := context.WithCancel(ctx)
		n := &neighbor{lookup: l, host: h, stop: stop}
		l.neighbors[h.Name] = n
		added = append(added, &prober{neighbor: n, address: h.Address.String(), context: child})
	}
	return added
}

// entries returns the listed entries and the available neighbors that the list lacks.
func (l *Lookup) entries() []hosts.Host {
	list := l.roster.Now()
	all := list.WithRole(hosts.RoleEntry)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, n := range l.neighbors {
		if _, ok := list.Find(name); !ok && n.available {
			all = append(all, n.host)
		}
	}
	return all
}

// prober probes one neighbor until its context is done.
type prober struct {
	neighbor *neighbor
	address  string
	context  context.Context
}

func (p *prober) run() {
	for p.context.Err() == nil {
		if err := p.probe(); err != nil {
			p.neighbor.set(false, false)
			select {
			case <-time.After(pollInterval):
			case <-p.context.Done():
			}
		}
	}
}

func (p *prober) probe() error {
	ctx, cancel := context.WithTimeout(p.context, ProbeTimeout)
	defer cancel()
	c := wire.NewFrontClient(p.neighbor.lookup.client, "http://"+p.address)
	r, err := c.Leave(ctx, connect.NewRequest(&wire.LeaveRequest{Wait: p.neighbor.maxWait().Milliseconds(), Leaving: p.neighbor.isLeaving()}))
	if err != nil {
		return err
	}
	p.neighbor.set(!r.Msg.Leaving, r.Msg.Leaving)
	return nil
}

// maxWait returns how long the neighbor may hold its reply. It is zero while the state of the
// neighbor isn't known.
func (n *neighbor) maxWait() time.Duration {
	n.lookup.mutex.Lock()
	defer n.lookup.mutex.Unlock()
	if !n.available && !n.leaving {
		return 0
	}
	return longPollTimeout
}

func (n *neighbor) isLeaving() bool {
	n.lookup.mutex.Lock()
	defer n.lookup.mutex.Unlock()
	return n.leaving
}

func (n *neighbor) set(available, leaving bool) {
	n.lookup.mutex.Lock()
	defer n.lookup.mutex.Unlock()
	n.available, n.leaving = available, leaving
}
