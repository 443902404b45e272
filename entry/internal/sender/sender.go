// Package sender gives a caller's request to an upstream. What it does next when
// that fails is decided by core/retry.
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
	"currantport.example/core/blame"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/retry"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/fleet"
)

const (
	settleTimeout  = time.Second
	settleInterval = 125 * time.Millisecond
	retryWait      = time.Second
	catchUpWait    = time.Second
	maxMints       = 3
)

// Sink takes an answer as it comes. A sink that has taken the head can't take
// another attempt.
type Sink interface {
	// Head is called once before any data.
	Head(version string, status int, media string) error
	// Data takes the next part of the answer.
	Data(data []byte) error
	// Begun reports whether the caller has seen a part of the answer.
	Begun() bool
	// Reset drops what was taken. It is called only while Begun is false.
	Reset()
}

// Fleet tells what is known of the upstreams.
type Fleet interface {
	// Choose returns the upstream that a request with the body goes to.
	Choose(pool tables.Pool, body []byte, tried map[hosts.Name]bool) (fleet.Target, bool)
	// Find returns a host, which need not be in the pool any more.
	Find(pool tables.Pool, name hosts.Name) (fleet.Target, bool)
	// Begin counts a request in progress until the returned function is called.
	Begin(name hosts.Name) func()
	// Report takes what an attempt showed.
	Report(name hosts.Name, r fleet.Report)
}

// Options are the parts of a sender.
type Options struct {
	Force *tables.Active
	// Current reports whether the process may decide by the tables in force. It
	// doesn't after a pause, until the process has caught up.
	Current func() bool
	Fleet   Fleet
	Client  *http.Client
	// Fresh returns a client without connections and its clean-up function.
	Fresh func() (*http.Client, func())
	// Book holds the requests that crash upstreams; Spread tells the other
	// entries of new marks.
	Book    *blame.Shared
	Spread  func(all ...blame.Mark)
	Metrics tally.Scope
	Log     *zap.Logger
}

// Sender sends requests to the upstreams of the pools in force.
type Sender struct {
	options Options
	gates   *gates

	mutex  sync.Mutex
	budget admit.Budget
	// heard holds the newest token of each host that answered.
	heard map[hosts.Name]dedup.Token
	leads *leads
}

// New returns a sender.
func New(o Options) *Sender {
	return &Sender{options: o, gates: newGates(o.Client), heard: make(map[hosts.Name]dedup.Token), leads: newLeads()}
}

// Send runs a request and gives the answer to the sink. It returns nil once the
// sink holds the whole answer.
func (s *Sender) Send(ctx context.Context, request calls.Request, sink Sink) *calls.Refusal {
	if !s.options.Current() {
		return s.Refuse(ctx, request, calls.NotRun(calls.ReasonStarting, catchUpWait, "the process has not caught up with the tables in force"))
	}
	now := s.options.Force.Snapshot()
	route, pool, refusal := join(now, request.Route)
	if refusal != nil {
		return s.Refuse(ctx, request, refusal)
	}
	if !route.Idempotent && request.Key == "" {
		return calls.NotRun(calls.ReasonKeyMissing, 0, "the route isn't idempotent: send an Idempotency-Key")
	}
	s.mutex.Lock()
	s.budget.Earn()
	s.mutex.Unlock()
	a := &attempts{
		sender: s, request: request, pool: pool, routes: now.Routes.Revision, pools: now.Pools.Revision, sink: sink,
		fingerprint: blame.FingerprintOf(request), course: retry.NewCourse(time.Now(), request, s.spend), tried: make(map[hosts.Name]bool),
	}
	return a.send(ctx)
}

// Mint returns a new key whose owner may run requests of the route.
func (s *Sender) Mint(ctx context.Context, name string) (calls.Key, *calls.Refusal) {
	_, pool, refusal := join(s.options.Force.Snapshot(), name)
	if refusal != nil {
		return "", refusal
	}
	tried := make(map[hosts.Name]bool)
	for range maxMints {
		target, ok := s.options.Fleet.Choose(pool, nil, tried)
		if !ok {
			break
		}
		tried[target.Host.Name] = true
		r, err := s.gates.of(target.Host.Address).Mint(ctx, connect.NewRequest(&wire.MintRequest{}))
		if err == nil {
			return calls.Key(r.Msg.Key), nil
		}
	}
	return "", calls.NotRun(calls.ReasonNoUpstream, retryWait, "no upstream can own a key")
}

// Refuse returns the refusal of a request that the entry doesn't send. What the
// entry did proves nothing about earlier sendings of a key, so its owner is asked
// and fences it.
func (s *Sender) Refuse(ctx context.Context, request calls.Request, refusal *calls.Refusal) *calls.Refusal {
	if request.Key == "" || refusal.Outcome != calls.OutcomeNotRun {
		return refusal
	}
	unknown := calls.Unknown(refusal.Reason, refusal.RetryAfter, refusal.Detail)
	now := s.options.Force.Snapshot()
	_, pool, _ := now.Join(request.Route)
	if _, minted := dedup.ParseMinted(request.Key); !minted && len(pool.Hosts) == 0 {
		return unknown
	}
	target, ok := s.options.Fleet.Find(pool, dedup.OwnerOf(request.Key, pool.Hosts).Host)
	if !ok {
		return unknown
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	r, err := s.gates.of(target.Host.Address).Settle(ctx, connect.NewRequest(settleMessage(request, request.ID, "")))
	if err != nil || dedup.State(r.Msg.State) != dedup.StateFenced {
		return unknown
	}
	proved := *refusal
	proved.Token = r.Msg.Token
	return &proved
}

func settleMessage(r calls.Request, id calls.ID, token string) *wire.SettleRequest {
	return &wire.SettleRequest{Id: string(id), Key: string(r.Key), Workspace: r.Workspace, Route: r.Route, Token: token}
}

func join(now *tables.Tables, name string) (tables.Route, tables.Pool, *calls.Refusal) {
	route, pool, found := now.Join(name)
	switch found {
	case tables.JoinNoRoute:
		return route, pool, calls.NotRun(calls.ReasonNoRoute, 0, "no route in force has this name")
	case tables.JoinNoPool:
		return route, pool, calls.NotRun(calls.ReasonNoPool, retryWait, "the route names a pool that isn't in force")
	}
	return route, pool, nil
}

func (s *Sender) spend() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.budget.Spend()
}

// hear records the newest token of a host.
func (s *Sender) hear(host hosts.Name, token string) {
	t := dedup.ParseToken(token)
	if t.Incarnation == "" {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard[host] = t
}

func (s *Sender) lastHeard(host hosts.Name) dedup.Token {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.heard[host]
}
