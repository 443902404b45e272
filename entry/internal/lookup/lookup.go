// Package lookup knows which entries may be named to callers.
//
// An entry asks its neighbours whether they leave and waits for their answer to
// change, so that a stop is known at once. A neighbour that doesn't answer isn't
// named. One that the list of hosts lacks is named while it answers.
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
	askWait = 2 * time.Second
	// ProbeTimeout is how long an entry that leaves may still be named by one that
	// can't reach it.
	ProbeTimeout = 3 * time.Second
	failureWait  = 500 * time.Millisecond
)

// Roster tells which hosts there are.
type Roster interface {
	Now() hosts.List
}

// Lookup holds the state of the neighbours of an entry. Goroutines share it.
type Lookup struct {
	self   hosts.Host
	roster Roster
	client *http.Client
	log    *zap.Logger

	mutex sync.Mutex
	// neighbours is keyed by the name of the entry.
	neighbours map[hosts.Name]*neighbour
}

// neighbour is one entry that is asked. The mutex of Lookup guards it.
type neighbour struct {
	owner *Lookup
	host  hosts.Host
	// open tells that the neighbour answered last that it doesn't leave.
	open    bool
	leaving bool
	stop    context.CancelFunc
}

// New returns a lookup that is kept up to date until the clean-up function is
// called.
func New(self hosts.Host, list Roster, client *http.Client, log *zap.Logger) (*Lookup, func()) {
	l := &Lookup{self: self, roster: list, client: client, log: log, neighbours: make(map[hosts.Name]*neighbour)}
	g := shell.NewGroup()
	g.Go(l.run)
	return l, g.Stop
}

// Available returns the neighbours that callers may be sent to in random order, those
// of the own region first.
func (l *Lookup) Available() []hosts.Host {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var open []hosts.Host
	for _, n := range l.neighbours {
		if n.open && n.host.State != hosts.StateLeaving {
			open = append(open, n.host)
		}
	}
	rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	slices.SortStableFunc(open, l.compareTiers)
	return open
}

func (l *Lookup) compareTiers(a, b hosts.Host) int {
	return cmp.Compare(regionTier(l.self.Place, a.Place), regionTier(l.self.Place, b.Place))
}

// regionTier takes all failure domains of a region as equally near, so that
// callers spread over them.
func regionTier(a, b hosts.Place) int {
	if a.Region == b.Region {
		return 0
	}
	return 1
}

// run starts and ends the asking as the list changes.
func (l *Lookup) run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		for _, n := range l.refresh(ctx) {
			group.Go(n.run)
		}
		select {
		case <-time.After(failureWait):
		case <-ctx.Done():
		}
	}
}

// refresh returns the duties of the neighbours that are new.
func (l *Lookup) refresh(ctx context.Context) []*asker {
	wanted := picker.Neighbours(l.self, l.entries())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, n := range l.neighbours {
		if !slices.ContainsFunc(wanted, func(h hosts.Host) bool { return h.Name == name && h.Address == n.host.Address }) {
			n.stop()
			delete(l.neighbours, name)
		}
	}
	var added []*asker
	for _, h := range wanted {
		if n := l.neighbours[h.Name]; n != nil {
			n.host = h
			continue
		}
		own, stop := context.WithCancel(ctx)
		n := &neighbour{owner: l, host: h, stop: stop}
		l.neighbours[h.Name] = n
		added = append(added, &asker{neighbour: n, address: h.Address.String(), context: own})
	}
	return added
}

// entries returns the listed entries and those that the list lacks and that
// still answer.
func (l *Lookup) entries() []hosts.Host {
	list := l.roster.Now()
	all := list.WithRole(hosts.RoleEntry)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, n := range l.neighbours {
		if _, ok := list.Find(name); !ok && n.open {
			all = append(all, n.host)
		}
	}
	return all
}

// asker asks one neighbour until its context ends.
type asker struct {
	neighbour *neighbour
	address   string
	context   context.Context
}

func (a *asker) run() {
	for a.context.Err() == nil {
		if err := a.ask(); err != nil {
			a.neighbour.set(false, false)
			select {
			case <-time.After(failureWait):
			case <-a.context.Done():
			}
		}
	}
}

func (a *asker) ask() error {
	ctx, cancel := context.WithTimeout(a.context, ProbeTimeout)
	defer cancel()
	c := wire.NewFrontClient(a.neighbour.owner.client, "http://"+a.address)
	r, err := c.Leave(ctx, connect.NewRequest(&wire.LeaveRequest{Wait: a.neighbour.wait().Milliseconds(), Leaving: a.neighbour.isLeaving()}))
	if err != nil {
		return err
	}
	a.neighbour.set(!r.Msg.Leaving, r.Msg.Leaving)
	return nil
}

// wait returns how long an answer may be held. The first answer comes at once.
func (n *neighbour) wait() time.Duration {
	n.owner.mutex.Lock()
	defer n.owner.mutex.Unlock()
	if !n.open && !n.leaving {
		return 0
	}
	return askWait
}

func (n *neighbour) isLeaving() bool {
	n.owner.mutex.Lock()
	defer n.owner.mutex.Unlock()
	return n.leaving
}

func (n *neighbour) set(open, leaving bool) {
	n.owner.mutex.Lock()
	defer n.owner.mutex.Unlock()
	n.open, n.leaving = open, leaving
}
