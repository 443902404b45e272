package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/shell"
	"currantport.example/platform/fakes"
)

const (
	// callGap is the time between two requests of a caller.
	callGap = 60 * time.Millisecond
	// patience is how long callers wait; it is longer than the timeout of the routes.
	patience = 5 * time.Second
	// mostEarly is the time after which a caller that leaves early does so at the latest.
	mostEarly   = 150 * time.Millisecond
	resolveTime = time.Second
	bodyBytes   = 512
	promptCount = 200
)

// kind is a kind of request.
type kind struct {
	name   string
	prefix string
	// repeatable tells that a request may run more than once.
	repeatable bool
	stream     bool
	resumable  bool
}

var kinds = []kind{
	{name: "read", prefix: prefixRead, repeatable: true},
	{name: "book", prefix: prefixBook},
	{name: "ask", prefix: prefixAsk, stream: true},
	{name: "tale", prefix: prefixTale, stream: true, repeatable: true, resumable: true},
	{name: "move", prefix: prefixMove, repeatable: true},
	{name: "probe", repeatable: true},
}

// sent is a request and what came of it.
type sent struct {
	fakes.Request
	kind   kind
	digest string
	key    key
	// entry is who took it, in which of its starts.
	entry *process
	boot  int
	// probe is the generation whose route a probe asks for, or zero.
	probe int
	at    time.Time
	done  time.Time
	// left is when the caller left early, or zero.
	left   time.Time
	answer fakes.Response
}

// load is the traffic of a run.
type load struct{ world *world }

func newLoad(w *world) *load { return &load{world: w} }

// start begins to send until the returned function is called, which may be called twice.
func (l *load) start() func() {
	g := shell.NewGroup()
	for i := range l.world.options.Size.Callers {
		c := &caller{world: l.world, number: i, random: rand.New(rand.NewPCG(l.world.options.Seed, uint64(i)))}
		g.Go(c.run)
	}
	return g.Stop
}

// caller sends one request after the other and keeps its connections as long as they
// last.
type caller struct {
	world     *world
	number    int
	random    *rand.Rand
	client    *http.Client
	addresses []netip.AddrPort
	expires   time.Time
	count     int
}

func (c *caller) run(ctx context.Context) {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, ResponseHeaderTimeout: patience}
	c.client = &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer t.CloseIdleConnections()
	for ctx.Err() == nil {
		c.count++
		if c.resolve(ctx) {
			c.send(ctx)
		}
		clocks.Sleep(ctx, callGap/2+time.Duration(c.random.Int64N(int64(callGap))))
	}
}

// resolve asks an entry where to connect once the last answer has expired. A caller
// without a new answer keeps the old one.
func (c *caller) resolve(ctx context.Context) bool {
	if time.Now().Before(c.expires) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTime)
	defer cancel()
	w := c.world
	e := w.entries[c.random.IntN(len(w.entries))]
	at := netip.AddrPortFrom(e.settings.Host, fakes.PortDirectory)
	all, lifetime, err := fakes.Resolve(ctx, c.client, at, e.settings.Place.Domain)
	if err == nil && len(all) > 0 {
		c.addresses, c.expires = all, time.Now().Add(lifetime)
	}
	return len(c.addresses) > 0
}

func (c *caller) send(ctx context.Context) {
	w := c.world
	s := &sent{kind: kinds[(c.number+c.count)%len(kinds)], key: w.operator.pick(c.random.IntN(1 << 20))}
	if c.count%8 != 0 {
		// Most requests come with a key that was valid a moment ago.
		for range 8 {
			if s.key.revoked.IsZero() {
				break
			}
			s.key = w.operator.pick(c.random.IntN(1 << 20))
		}
	}
	prefix := s.kind.prefix
	if s.kind.name == "probe" {
		s.probe = max(w.operator.newest()-c.random.IntN(keptRoutes+1), 1)
		prefix = prefixOf(s.probe)
	}
	s.ID = fmt.Sprintf("%x-%x-%x", w.options.Seed, c.number, c.count)
	s.Host, s.Target, s.Credential, s.Timeout = hostName, prefix+s.ID+"?n="+fmt.Sprint(c.count), s.key.text, patience
	s.Body = make([]byte, bodyBytes)
	for i := range s.Body {
		s.Body[i] = byte('a' + c.random.IntN(26))
	}
	sum := sha256.Sum256(s.Body)
	s.digest = hex.EncodeToString(sum[:])
	if s.kind.stream {
		s.Model, s.Prompt, s.Output = modelName, promptCount, eventCount
	}
	at := c.addresses[c.random.IntN(len(c.addresses))]
	s.entry = w.entryAt(at)
	if s.entry == nil {
		w.judge.report("address", "callers were sent to %s, where no entry is", at)
		return
	}
	c.exchange(ctx, at, s)
}

func (c *caller) exchange(ctx context.Context, at netip.AddrPort, s *sent) {
	limit := patience
	early := c.random.IntN(12) == 0
	if early {
		limit = time.Duration(c.random.Int64N(int64(mostEarly)))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s.at, s.boot = time.Now(), s.entry.boot()
	c.world.judge.begun(s)
	s.answer = fakes.Send(ctx, c.client, at, s.Request)
	s.done = time.Now()
	if ctx.Err() != nil {
		s.left = s.done
	}
	c.world.judge.ended(s)
	if s.answer.Err != nil {
		// The caller stays away from an address that has failed.
		c.expires = time.Time{}
	}
}

// entryAt returns the entry that answers callers at an address, or nil.
func (w *world) entryAt(at netip.AddrPort) *process {
	for _, e := range w.entries {
		if at == netip.AddrPortFrom(e.settings.Host, fakes.PortCalls) {
			return e
		}
	}
	return nil
}
