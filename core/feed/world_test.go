package feed_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/feed"
	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/wire"
)

// platform is a fake platform that publishes one release.
type platform struct {
	mutex   sync.Mutex
	head    state.Revision
	version int
	changed chan struct{}
	reads   int
	// lists counts the pulls of all rows, readers the processes that made one.
	lists   int
	readers map[hosts.Name]int
	// listTime is how long a pull of all rows takes alone over the link of a region. Pulls at the
	// same time share the link. listing counts them by domain, whole those that ended.
	listTime time.Duration
	listing  map[hosts.Domain]int
	whole    int
}

// list waits until all rows are transferred to a domain.
func (p *platform) list(ctx context.Context, to hosts.Domain) error {
	const step = 5 * time.Millisecond
	p.mutex.Lock()
	if p.listing == nil {
		p.listing = make(map[hosts.Domain]int)
	}
	p.listing[to]++
	left := p.listTime
	p.mutex.Unlock()
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.listing[to]--
	}()
	for left > 0 {
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return ctx.Err()
		}
		p.mutex.Lock()
		left -= step / time.Duration(p.listing[to])
		p.mutex.Unlock()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.whole++
	return nil
}

// restore begins an era with an earlier version.
func (p *platform) restore(t interface{ Fatal(...any) }, era uint64, version int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.head, p.version = revision(t, era, 1), version
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetCounts returns the number of pulls, of those of all rows, and of the processes that made
// any since the last call.
func (p *platform) resetCounts() (reads, lists, readers int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	reads, lists, readers = p.reads, p.lists, len(p.readers)
	p.reads, p.lists, p.readers = 0, 0, make(map[hosts.Name]int)
	return reads, lists, readers
}

// readCount returns the number of pulls.
func (p *platform) readCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.reads
}

func (p *platform) publish(version int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.head++
	p.version = version
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) update(after state.Revision) feed.Update {
	u := feed.Update{Head: p.head, Full: after == 0 || after.Era() != p.head.Era()}
	if after != p.head {
		u.Rows = []state.Row{at(p.head, release(p.version))}
	}
	return u
}

// platformSource is the platform as seen by one process.
type platformSource struct {
	world  *world
	self   hosts.Name
	domain hosts.Domain
}

func (s *platformSource) Pull(ctx context.Context, after state.Revision, wait time.Duration) (feed.Update, error) {
	confirmedAt := time.Now()
	p := &s.world.platform
	p.mutex.Lock()
	p.reads++
	p.readers[s.self]++
	if after == 0 || after.Era() != p.head.Era() {
		p.lists++
	}
	changed, u := p.changed, p.update(after)
	p.mutex.Unlock()
	if after == 0 && p.listTime > 0 {
		if err := p.list(ctx, s.domain); err != nil {
			return feed.Update{}, err
		}
	}
	if err := s.world.reach(ctx, s.self, feed.PlatformSource); err != nil {
		return feed.Update{}, err
	}
	if after == u.Head {
		if wait <= 0 {
			confirmedAt = time.Now()
		} else {
			select {
			case <-changed:
			case <-time.After(wait):
				confirmedAt = time.Now()
			case <-ctx.Done():
				return feed.Update{}, ctx.Err()
			}
		}
		if err := s.world.reach(ctx, s.self, feed.PlatformSource); err != nil {
			return feed.Update{}, err
		}
		p.mutex.Lock()
		u = p.update(after)
		p.mutex.Unlock()
	}
	u.ConfirmedAt, u.LastContact = confirmedAt, time.Now()
	return u, nil
}

// peerSource is another process as seen by one process.
type peerSource struct {
	world    *world
	from, to hosts.Name
}

func (p *peerSource) Pull(ctx context.Context, after state.Revision, wait time.Duration) (feed.Update, error) {
	if err := p.world.reach(ctx, p.from, p.to); err != nil {
		return feed.Update{}, err
	}
	h := feed.NewServiceHandler(p.world.mirrors[p.to])
	requestedAt := time.Now()
	reply, err := h.Pull(ctx, connect.NewRequest(&wire.PullRequest{After: uint64(after), Wait: wait.Milliseconds(), Proofs: true}))
	if err != nil {
		return feed.Update{}, err
	}
	return feed.DecodeUpdate(reply.Msg, requestedAt), p.world.reach(ctx, p.from, p.to)
}

// world is a fleet of entries in three failure domains.
type world struct {
	platform platform
	entries  []hosts.Host
	mirrors  map[hosts.Name]*feed.Mirror
	// readyStaleness is the staleness up to which an entry is ready, or zero if all are.
	readyStaleness time.Duration
	// readyEntries is the list as of readyAt.
	readyEntries []hosts.Host
	readyAt      time.Time

	mutex sync.Mutex
	// cut holds the processes that can't reach the platform. True means that their
	// calls are refused, false that they get no response.
	cut map[hosts.Name]bool
	// silent holds the processes that stand still. Calls from and to them get no response until they
	// go on.
	silent map[hosts.Name]bool
}

// reach simulates the path between two processes. It returns at once with an error if
// calls are refused, or when the context ends if they get no response.
func (w *world) reach(ctx context.Context, from, to hosts.Name) error {
	const step = 5 * time.Millisecond
	for w.isSilent(from) || w.isSilent(to) {
		select {
		case <-time.After(step):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	w.mutex.Lock()
	refused, cut := w.cut[from]
	w.mutex.Unlock()
	if !cut || to != feed.PlatformSource {
		return nil
	}
	if refused {
		return errors.New("refused")
	}
	<-ctx.Done()
	return ctx.Err()
}

func (w *world) isSilent(name hosts.Name) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.silent[name]
}

// setSilent has exactly the given entries stand still.
func (w *world) setSilent(all ...hosts.Host) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	clear(w.silent)
	for _, h := range all {
		w.silent[h.Name] = true
	}
}

func newWorld(count int) *world { return newWorldIn(count, 3) }

// newWorldIn returns a fleet of entries spread over failure domains.
func newWorldIn(count, domains int) *world {
	w := &world{mirrors: make(map[hosts.Name]*feed.Mirror), cut: make(map[hosts.Name]bool), silent: make(map[hosts.Name]bool)}
	w.platform = platform{head: 1, version: 1, changed: make(chan struct{}), readers: make(map[hosts.Name]int)}
	for i := range count {
		domain := hosts.Domain(fmt.Sprintf("d%d", i%domains))
		h := hosts.Host{Name: hosts.Name(fmt.Sprintf("e%d", i)), Role: hosts.RoleEntry, Place: hosts.Place{Region: hosts.Region(domain), Domain: domain}}
		w.entries = append(w.entries, h)
		w.mirrors[h.Name] = feed.NewMirror()
	}
	return w
}

func (w *world) start() func() { return w.startAll(w.entries) }

// addAgents adds agents spread over the failure domains of the entries.
func (w *world) addAgents(count, domains int) []hosts.Host {
	var all []hosts.Host
	for i := range count {
		domain := hosts.Domain(fmt.Sprintf("d%d", i%domains))
		h := hosts.Host{Name: hosts.Name(fmt.Sprintf("a%d", i)), Role: hosts.RoleAgent, Place: hosts.Place{Region: hosts.Region(domain), Domain: domain}}
		all = append(all, h)
		w.mirrors[h.Name] = feed.NewMirror()
	}
	return all
}

// setCut cuts processes off from the platform, with refusals, or ends all cuts.
func (w *world) setCut(all []hosts.Host, cut bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	clear(w.cut)
	for _, h := range all {
		if cut {
			w.cut[h.Name] = true
		}
	}
}

// agentFallbackTimeout is that of the agents of a fleet.
const agentFallbackTimeout = 5 * time.Second

// ready returns the entries that are ready.
func (w *world) ready() []hosts.Host {
	if w.readyStaleness == 0 {
		return w.entries
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if time.Since(w.readyAt) < readyInterval {
		return w.readyEntries
	}
	var all []hosts.Host
	for _, h := range w.entries {
		if staleness, ok := w.mirrors[h.Name].Staleness(); ok && staleness < w.readyStaleness {
			all = append(all, h)
		}
	}
	if w.readyAt = time.Now(); !slices.Equal(all, w.readyEntries) {
		w.readyEntries = all
	}
	return w.readyEntries
}

// readyInterval is the time after which processes learn which entries are ready.
const readyInterval = 100 * time.Millisecond

func (w *world) startAll(all []hosts.Host) func() {
	var stops []func()
	for _, h := range all {
		fallback := feed.ContactTimeout
		if h.Role == hosts.RoleAgent {
			fallback = agentFallbackTimeout
		}
		_, stop := feed.NewFollower(feed.FollowOptions{
			Identity: feed.Identity{Self: h.Name, Place: h.Place, Role: h.Role}, Mirror: w.mirrors[h.Name],
			Entries: w.ready, Members: func() []hosts.Host { return w.entries }, FallbackTimeout: fallback, Scope: tally.NoopScope, Log: zap.NewNop(),
			Source: func(name hosts.Name) (feed.Source, bool) {
				if name == feed.PlatformSource {
					return &platformSource{world: w, self: h.Name, domain: h.Place.Domain}, true
				}
				return &peerSource{world: w, from: h.Name, to: name}, true
			},
		})
		stops = append(stops, stop)
	}
	return func() {
		for _, stop := range stops {
			stop()
		}
	}
}

// propagationDelay publishes a version and returns how long it takes until all entries
// that aren't cut off have it.
func (w *world) propagationDelay(version int) time.Duration {
	start := time.Now()
	w.platform.publish(version)
	for time.Since(start) < 20*time.Second {
		behind := false
		for _, h := range w.entries {
			if _, cut := w.cut[h.Name]; !cut && !w.silent[h.Name] && w.mirrors[h.Name].Snapshot().Release("m").Version < version {
				behind = true
			}
		}
		if !behind {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}
