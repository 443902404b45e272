// Package sender sends a client's request to an upstream and relays the response.
// Package core/retry decides what follows a failed attempt.
//
// # Attempts
//
// Each attempt has an ID of its own. An attempt that ended without a response or a
// refusal is settled before the request is reported as not run: the upstream's host
// reports whether the attempt ran, or fences it off.
//
// # Crash suspects
//
// Concurrent attempts of one request share an upstream until one was answered, and
// a request that is suspected to crash upstreams runs at one upstream that all
// entries choose alike.
package sender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"currantport.example/core/admit"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/poison"
	"currantport.example/core/retry"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
)

const (
	settleTimeout     = time.Second
	settleInterval    = 125 * time.Millisecond
	retryAfter        = time.Second
	catchUpRetryAfter = time.Second
	maxMintAttempts   = 3
)

// Sink receives a response while it arrives.
type Sink interface {
	// Head is called once per attempt, before any data.
	Head(version string, status int, media string) error
	// Data receives the next part of the response.
	Data(data []byte) error
	// Started reports whether the client has received part of the response.
	Started() bool
	// Reset discards what was received. It is called before each attempt, the first one
	// included, and only while Started is false.
	Reset()
}

// Fleet chooses upstreams and records their load.
type Fleet interface {
	// Choose returns the upstream for a request with the body.
	Choose(pool tables.Pool, body []byte, tried map[hosts.Name]bool) (fleet.Target, bool)
	// Find returns a host, which may have left the pool.
	Find(pool tables.Pool, name hosts.Name) (fleet.Target, bool)
	// Begin counts a request in progress until the returned function is called.
	Begin(name hosts.Name) func()
	// Report records the result of an attempt.
	Report(name hosts.Name, r fleet.Report)
}

// Options holds the dependencies of a sender.
type Options struct {
	Tables *tables.Active
	// IsCurrent reports whether the active tables are current enough to choose an
	// upstream. It returns false after a pause of the process until it has caught up.
	IsCurrent func() bool
	Fleet     Fleet
	Client    *http.Client
	// NewClient returns a client without connections and a function that closes it.
	NewClient func() (*http.Client, func())
	// Registry holds the crash marks of requests. Broadcast sends new ones to the other
	// entries.
	Registry  *poison.SharedRegistry
	Broadcast func(all ...poison.Mark)
	Metrics   tally.Scope
	Log       *zap.Logger
}

// Sender sends requests to the upstreams of the active pools. Goroutines share it.
type Sender struct {
	options Options
	clients *gateClients

	mutex  sync.Mutex
	budget admit.Budget
	// tokens holds the newest token of each host that responded.
	tokens map[hosts.Name]dedup.Token
	pins   *pinner
}

// New returns a sender.
func New(o Options) *Sender {
	return &Sender{options: o, clients: newGateClients(o.Client), tokens: make(map[hosts.Name]dedup.Token), pins: newPinner()}
}

// Send sends a request and writes the response to the sink. It returns nil once the
// sink has the complete response.
func (s *Sender) Send(ctx context.Context, request calls.Request, sink Sink) *calls.Refusal {
	if !s.options.IsCurrent() {
		return s.Refuse(ctx, request, calls.NotRun(calls.ReasonStarting, catchUpRetryAfter, "the process has not caught up with the tables in force"))
	}
	snapshot := s.options.Tables.Snapshot()
	route, pool, refusal := findRoute(snapshot, request.Route)
	if refusal != nil {
		return s.Refuse(ctx, request, refusal)
	}
	if !route.Idempotent && request.Key == "" {
		return calls.NotRun(calls.ReasonKeyMissing, 0, "the route isn't idempotent: send an Idempotency-Key")
	}
	s.mutex.Lock()
	s.budget.RecordRequest()
	s.mutex.Unlock()
	a := &attempts{
		sender: s, request: request, pool: pool, routes: snapshot.Routes.Revision, pools: snapshot.Pools.Revision, sink: sink,
		fingerprint: poison.FingerprintOf(request), plan: retry.NewAttempts(time.Now(), request, s.trySpend), tried: make(map[hosts.Name]bool),
	}
	return a.send(ctx)
}

// Mint returns a new idempotency key that is owned by an upstream of the route.
func (s *Sender) Mint(ctx context.Context, name string) (calls.Key, *calls.Refusal) {
	_, pool, refusal := findRoute(s.options.Tables.Snapshot(), name)
	if refusal != nil {
		return "", refusal
	}
	tried := make(map[hosts.Name]bool)
	for range maxMintAttempts {
		target, ok := s.options.Fleet.Choose(pool, nil, tried)
		if !ok {
			break
		}
		tried[target.Host.Name] = true
		r, err := s.clients.get(target.Host.Address).Mint(ctx, connect.NewRequest(&wire.MintRequest{}))
		if err == nil {
			return calls.Key(r.Msg.Key), nil
		}
	}
	return "", calls.NotRun(calls.ReasonNoUpstream, retryAfter, "no upstream can own a key")
}

// Refuse returns the refusal of a request that the entry doesn't send. A request with
// a key may have run in an earlier attempt, so its outcome is unknown unless the owner
// of the key confirms that the key is fenced.
func (s *Sender) Refuse(ctx context.Context, request calls.Request, refusal *calls.Refusal) *calls.Refusal {
	if request.Key == "" || refusal.Outcome != calls.OutcomeNotRun {
		return refusal
	}
	unknown := calls.Unknown(refusal.Reason, refusal.RetryAfter, refusal.Detail)
	snapshot := s.options.Tables.Snapshot()
	_, pool, _ := snapshot.Join(request.Route)
	if _, minted := dedup.ParseMinted(request.Key); !minted && len(pool.Hosts) == 0 {
		return unknown
	}
	target, ok := s.options.Fleet.Find(pool, dedup.OwnerOf(request.Key, pool.Hosts).Host)
	if !ok {
		return unknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	r, err := s.clients.get(target.Host.Address).Settle(ctx, connect.NewRequest(settleMessage(request, request.ID, "")))
	if err != nil || dedup.State(r.Msg.State) != dedup.StateFenced {
		return unknown
	}
	fenced := *refusal
	fenced.Token = r.Msg.Token
	return &fenced
}

func settleMessage(r calls.Request, id calls.ID, token string) *wire.SettleRequest {
	return &wire.SettleRequest{Id: string(id), Key: string(r.Key), Workspace: r.Workspace, Route: r.Route, Token: token}
}

func findRoute(snapshot *tables.Tables, name string) (tables.Route, tables.Pool, *calls.Refusal) {
	route, pool, found := snapshot.Join(name)
	switch found {
	case tables.JoinNoRoute:
		return route, pool, calls.NotRun(calls.ReasonNoRoute, 0, "no route in force has this name")
	case tables.JoinNoPool:
		return route, pool, calls.NotRun(calls.ReasonNoPool, retryAfter, "the route names a pool that isn't in force")
	}
	return route, pool, nil
}

func (s *Sender) trySpend() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget.TrySpend()
}

// recordToken records the newest token of a host.
func (s *Sender) recordToken(host hosts.Name, token string) {
	t := dedup.ParseToken(token)
	if t.Incarnation == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tokens[host] = t
}

func (s *Sender) lastToken(host hosts.Name) dedup.Token {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tokens[host]
}
