package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strings"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/links"
	"currantport.example/core/shell"
	"currantport.example/platform/fakes"
)

const (
	// requestInterval is the mean time between the end of a request of a client and its
	// next one.
	requestInterval = 60 * time.Millisecond
	// clientTimeout is the timeout of clients; it is longer than that of the routes.
	clientTimeout = 5 * time.Second
	// maxCancelDelay is the latest time at which a client cancels a request on purpose.
	maxCancelDelay = 150 * time.Millisecond
	resolveTimeout = time.Second
	bodyBytes      = 512
	// sharedParts is the number of first parts that prompts share.
	sharedParts  = 3
	sharedTokens = 120
	poisonTokens = 30
	ownTokens    = 50
)

// requestKind describes requests to one kind of route.
type requestKind struct {
	name   string
	prefix string
	// retryable requests may run more than once.
	retryable bool
	stream    bool
	resumable bool
}

var requestKinds = []requestKind{
	{name: "read", prefix: prefixRead, retryable: true},
	{name: "book", prefix: prefixBook},
	{name: "ask", prefix: prefixAsk, stream: true},
	{name: "tale", prefix: prefixTale, stream: true, retryable: true, resumable: true},
	{name: "move", prefix: prefixMove, retryable: true},
	{name: "probe", retryable: true},
}

// sentRequest is a request and its outcome.
type sentRequest struct {
	fakes.Request
	kind       requestKind
	bodyDigest string
	// poison is the part of the prompt that crashes engines, or nil.
	poison *poisonPart
	key    apiKey
	// entry is the process that received the request, startNumber its start at that time.
	entry       *process
	startNumber int
	// probedGeneration is the generation whose route a probe requests, or zero.
	probedGeneration int
	sentAt           time.Time
	endedAt          time.Time
	// connectedAt is when the connection was first used, or zero for requests with something sent ahead.
	connectedAt time.Time
	// canceledAt is when the client disconnected early, or zero, and leaves how it did.
	canceledAt time.Time
	leaves     wayToLeave
	response   fakes.Response
}

// workload is the traffic of a run.
type workload struct{ world *world }

func newWorkload(w *world) *workload { return &workload{world: w} }

// start starts the clients. The returned function stops them and may be called twice.
func (w *workload) start() func() {
	g := shell.NewGroup()
	for i := range w.world.options.Size.Clients {
		c := &client{world: w.world, number: i, connections: make(map[net.Conn]time.Time), random: rand.New(rand.NewPCG(w.world.options.Seed, uint64(i)))}
		g.Go(c.run)
	}
	return g.Stop
}

// client sends one request at a time and reuses its connections.
type client struct {
	world        *world
	number       int
	random       *rand.Rand
	httpClient   *http.Client
	addresses    []netip.AddrPort
	expiresAt    time.Time
	requestCount int
	// connections is when each connection was first used.
	connections map[net.Conn]time.Time
}

func (c *client) run(ctx context.Context) {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, ResponseHeaderTimeout: clientTimeout}
	c.httpClient = &http.Client{Transport: links.NewTransport(t), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer t.CloseIdleConnections()
	for ctx.Err() == nil {
		c.requestCount++
		if c.resolve(ctx) {
			c.send(ctx)
		}
		clocks.Sleep(ctx, requestInterval/2+time.Duration(c.random.Int64N(int64(requestInterval))))
	}
}

// resolve requests the addresses of entries once the last ones have expired, and reports
// whether there are any. If that fails, the client keeps the old addresses.
func (c *client) resolve(ctx context.Context) bool {
	if time.Now().Before(c.expiresAt) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	w := c.world
	e := w.entries[c.random.IntN(len(w.entries))]
	at := netip.AddrPortFrom(e.settings.Host, fakes.PortDirectory)
	all, ttl, err := fakes.Resolve(ctx, c.httpClient, at, e.settings.Place.Domain)
	if err == nil && len(all) > 0 {
		c.addresses, c.expiresAt = all, time.Now().Add(ttl)
	}
	return len(c.addresses) > 0
}

func (c *client) send(ctx context.Context) {
	w := c.world
	s := &sentRequest{kind: requestKinds[(c.number+c.requestCount)%len(requestKinds)], key: w.operator.pickKey(c.random.IntN(1 << 20))}
	if c.requestCount%8 != 0 {
		// Most requests use a key that was valid a moment ago.
		for range 8 {
			if s.key.revokedAt.IsZero() {
				break
			}
			s.key = w.operator.pickKey(c.random.IntN(1 << 20))
		}
	}
	prefix := s.kind.prefix
	if s.kind.name == "probe" {
		s.probedGeneration = max(w.operator.newestGeneration()-c.random.IntN(routeGenerations+1), 1)
		prefix = generationPrefix(s.probedGeneration)
	}
	s.ID = fmt.Sprintf("%x-%x-%x", w.options.Seed, c.number, c.requestCount)
	s.Host, s.Target, s.Credential, s.Timeout = hostName, prefix+s.ID+"?n="+fmt.Sprint(c.requestCount), s.key.value, clientTimeout
	s.Body = make([]byte, bodyBytes)
	for i := range s.Body {
		s.Body[i] = byte('a' + c.random.IntN(26))
	}
	sum := sha256.Sum256(s.Body)
	s.bodyDigest = hex.EncodeToString(sum[:])
	if s.kind.stream {
		s.Model, s.Output = modelName, eventCount
		if c.random.IntN(poisonInterval) == 0 {
			s.poison = w.poison.Load()
		}
		s.Parts = c.prompt(s.ID, s.poison)
		for _, p := range s.Parts {
			s.Prompt += p.Tokens
		}
	}
	at := c.addresses[c.random.IntN(len(c.addresses))]
	s.entry = w.entryAt(at)
	if s.entry == nil {
		w.checker.recordViolation("address", "clients were sent to %s, where no entry listens", at)
		return
	}
	c.exchange(ctx, at, s)
}

// prompt returns the parts of a prompt: a first one shared by many, the poison part if there is
// one, and one of its own.
func (c *client) prompt(id string, poison *poisonPart) []fakes.PromptPart {
	parts := []fakes.PromptPart{{ID: fmt.Sprintf("a%d", c.random.IntN(sharedParts)), Tokens: sharedTokens}}
	if poison != nil {
		parts = slices.Insert(parts, poison.position, fakes.PromptPart{ID: poison.id, Tokens: poisonTokens})
	}
	return append(parts, fakes.PromptPart{ID: strings.ReplaceAll(id, "-", "0"), Tokens: ownTokens})
}

// wayToLeave is how a client disconnects early.
type wayToLeave string

const (
	// leavesAlone closes a connection on which nothing follows the request, and leavesAhead one on which
	// something was sent ahead of the response.
	leavesAlone wayToLeave = "alone"
	leavesAhead wayToLeave = "ahead"
)

// sentAhead is what clients send ahead: an empty line, or the beginning of a request.
var sentAhead = [][]byte{[]byte("\r\n"), []byte("POST " + prefixRead)}

func (c *client) exchange(ctx context.Context, at netip.AddrPort, s *sentRequest) {
	timeout := clientTimeout
	s.leaves = leavesAlone
	cancels := c.random.IntN(12) == 0
	if cancels {
		timeout = time.Duration(c.random.Int64N(int64(maxCancelDelay)))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.sentAt, s.startNumber = time.Now(), s.entry.startNumber()
	c.world.checker.requestStarted(s)
	if cancels && c.random.IntN(2) == 0 {
		s.leaves = leavesAhead
		s.response.Err = fakes.SendAndLeave(ctx, at, s.Request, sentAhead[c.random.IntN(len(sentAhead))])
	} else {
		s.response = fakes.Send(c.traceConnection(ctx, s), c.httpClient, at, s.Request)
	}
	s.endedAt = time.Now()
	if ctx.Err() != nil {
		s.canceledAt = s.endedAt
	}
	c.world.checker.requestEnded(s)
	if s.response.Err != nil {
		// Resolves again before the next request, because the address has failed.
		c.expiresAt = time.Time{}
	}
}

// traceConnection returns a context with which the time of the connection of a request is recorded.
func (c *client) traceConnection(ctx context.Context, s *sentRequest) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if !i.Reused {
			c.connections[i.Conn] = s.sentAt
		}
		s.connectedAt = c.connections[i.Conn]
	}})
}

// entryAt returns the entry that listens for clients at an address, or nil.
func (w *world) entryAt(at netip.AddrPort) *process {
	for _, e := range w.entries {
		if at == netip.AddrPortFrom(e.settings.Host, fakes.PortCalls) {
			return e
		}
	}
	return nil
}
