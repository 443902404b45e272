package sender

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/poison"
	"currantport.example/core/retry"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

// attempts makes the attempts of one request.
type attempts struct {
	sender  *Sender
	request calls.Request
	pool    tables.Pool
	routes  tables.Revision
	pools   tables.Revision
	sink    Sink
	// fingerprint is the same for all attempts and retries of the request.
	fingerprint poison.Fingerprint
	plan        *retry.Attempts
	tried       map[hosts.Name]bool
	// pinned is true while the pinner counts the attempt in progress.
	pinned bool
	// candidates holds the remaining upstreams for a crash suspect by rendezvous rank.
	candidates []hosts.Name
	// delayed is set once the request has waited for the crash marks of other entries.
	delayed bool
	// version is the one that the chosen upstream serves. The attempt requires it.
	version string
	// unsettled holds the attempts whose send state is unknown.
	unsettled []attempt
}

// attempt is one attempt at one host.
type attempt struct {
	id   calls.ID
	host hosts.Host
	// token is the token that is sent with the request.
	token string
}

// send makes attempts until the plan is done.
func (a *attempts) send(ctx context.Context) *calls.Refusal {
	next := retry.Decision{Step: retry.StepRetry}
	if a.request.Key != "" {
		next = retry.Decision{Step: retry.StepFollow, Owner: dedup.OwnerOf(a.request.Key, a.pool.Hosts)}
	}
	var host hosts.Host
	for {
		ok := true
		switch next.Step {
		case retry.StepDone:
			return next.Refusal
		case retry.StepRetry:
			a.awaitMarks(ctx)
			host, ok = a.chooseHost()
		case retry.StepFollow:
			host, ok = a.findHost(next.Owner)
		case retry.StepReconnect, retry.StepSettle:
		}
		switch {
		case !ok:
			next = a.plan.NextUnplaced()
		case next.Step == retry.StepSettle:
			settled := a.settle(ctx)
			next = a.plan.NextSettled(time.Now(), settled)
		default:
			a.sink.Reset()
			result := a.runAttempt(ctx, host, next.Step == retry.StepReconnect)
			a.unpin(result)
			next = a.plan.Next(time.Now(), result)
		}
	}
}

// awaitMarks delays the first attempt of a crash suspect until the marks of attempts
// that other entries lost at the same moment have arrived. Those entries may have no
// retry left that would carry their marks to the upstream of the suspect.
func (a *attempts) awaitMarks(ctx context.Context) {
	if status, _ := a.sender.options.Registry.Evaluate(a.fingerprint); status != poison.StatusSuspect || a.delayed {
		return
	}
	a.delayed = true
	select {
	case <-time.After(poison.MarkDelay):
	case <-ctx.Done():
	}
}

// chooseHost returns the upstream of the next attempt. A process that isn't current
// chooses none.
func (a *attempts) chooseHost() (hosts.Host, bool) {
	s := a.sender
	if !s.options.IsCurrent() {
		return hosts.Host{}, false
	}
	if status, _ := s.options.Registry.Evaluate(a.fingerprint); status == poison.StatusSuspect {
		return a.chooseSuspectHost()
	}
	t, ok := s.options.Fleet.Choose(a.pool, a.request.Body, a.tried)
	if !ok {
		return hosts.Host{}, false
	}
	a.pinned = true
	if name := s.pins.begin(a.fingerprint, t.Host.Name, a.tried); name != t.Host.Name {
		if pinned, found := s.options.Fleet.Find(a.pool, name); found {
			t = pinned
		}
	}
	a.tried[t.Host.Name] = true
	a.version = t.Version
	return t.Host, true
}

func (a *attempts) unpin(r retry.Result) {
	if a.pinned {
		a.pinned = false
		a.sender.pins.end(time.Now(), a.fingerprint, r.Refusal == nil && !r.Lost)
	}
}

// chooseSuspectHost returns the upstream for a crash suspect. All entries choose the
// same one, so that concurrent attempts can crash one upstream only.
func (a *attempts) chooseSuspectHost() (hosts.Host, bool) {
	if a.candidates == nil {
		a.candidates = hosts.Rank(string(a.fingerprint[:]), a.pool.Hosts)
	}
	for len(a.candidates) > 0 {
		t, ok := a.sender.options.Fleet.Find(a.pool, a.candidates[0])
		a.candidates = a.candidates[1:]
		if ok && t.Host.State != hosts.StateLeaving {
			a.version = t.Version
			return t.Host, true
		}
	}
	return hosts.Host{}, false
}

// findHost returns the host that owns a key. It may have left the pool.
func (a *attempts) findHost(owner dedup.Owner) (hosts.Host, bool) {
	t, ok := a.sender.options.Fleet.Find(a.pool, owner.Host)
	a.version = t.Version
	return t.Host, ok
}

// runAttempt makes an attempt, over a new connection if newConnection is set. It
// refuses a quarantined request that has no key.
func (a *attempts) runAttempt(ctx context.Context, host hosts.Host, newConnection bool) retry.Result {
	status, wait := a.sender.options.Registry.Evaluate(a.fingerprint)
	if status == poison.StatusQuarantined && a.request.Key == "" {
		return retry.Result{Refusal: calls.NotRun(calls.ReasonQuarantined, wait, "upstreams were lost each time this request ran")}
	}
	if !newConnection {
		return a.runWith(ctx, a.sender.clients.get(host.Address), host)
	}
	client, stop := a.sender.options.NewClient()
	defer stop()
	return a.runWith(ctx, newGateClient(client, host.Address), host)
}

// runWith makes an attempt with the client and reports the result to the fleet and
// the crash registry.
func (a *attempts) runWith(ctx context.Context, gate wire.GateClient, host hosts.Host) retry.Result {
	s := a.sender
	done := s.options.Fleet.Begin(host.Name)
	defer done()
	one := attempt{id: calls.ID(uuid.NewString()), host: host, token: a.request.Token}
	if a.request.Key == "" {
		one.token = s.lastToken(host.Name).String()
	}
	t := &transfer{id: one.id, sink: a.sink, metrics: s.options.Metrics, wantVersion: a.version, startedAt: time.Now()}
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(time.Until(a.plan.AttemptDeadline()), t.cancelUnlessForwarded(cancel))
	defer timer.Stop()
	err := t.run(limited, gate, a.runMessage(one))
	s.options.Fleet.Report(host.Name, t.report(limited, err))
	s.recordToken(host.Name, t.token)
	s.options.Broadcast(s.options.Registry.Merge(t.marks, string(host.Name))...)
	s.options.Log.Info("attempt", zap.String("request", string(a.request.ID)), zap.String("attempt", string(one.id)),
		zap.String("workspace", a.request.Workspace), zap.String("pool", a.pool.Name), zap.String("host", string(host.Name)),
		zap.Uint64("revision", uint64(a.pools)), zap.String("version", t.version), zap.Error(err))
	r := resultOf(ctx, err)
	r.Started = a.sink.Started()
	r.Owner.Host = t.owner
	a.recordUnsettled(one, r)
	return r
}

// recordUnsettled records an attempt that must be settled before the request can be
// reported as not run.
func (a *attempts) recordUnsettled(one attempt, r retry.Result) {
	if a.request.Key != "" {
		a.unsettled = []attempt{one}
		return
	}
	if r.Lost && !r.Unsent {
		a.unsettled = append(a.unsettled, one)
	}
}

func resultOf(ctx context.Context, err error) retry.Result {
	var refusal *calls.Refusal
	var dial *net.OpError
	switch {
	case err == nil:
		return retry.Result{}
	case errors.As(err, &refusal):
		return retry.Result{Refusal: refusal}
	case errors.Is(ctx.Err(), context.Canceled):
		return retry.Result{Lost: true, Canceled: true}
	}
	unsent := errors.As(err, &dial) && dial.Op == "dial"
	return retry.Result{Lost: true, Unsent: unsent}
}

// settle queries the send state of the unsettled attempts over new connections. The
// result is StateFenced only if all of them are fenced.
func (a *attempts) settle(ctx context.Context) dedup.SettleResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	settled := dedup.SettleResult{State: dedup.StateFenced}
	for _, d := range a.unsettled {
		settled = a.settleOne(ctx, d)
		if settled.State != dedup.StateFenced {
			return settled
		}
	}
	return settled
}

// settleOne queries the host until it responds or the context ends.
func (a *attempts) settleOne(ctx context.Context, d attempt) dedup.SettleResult {
	m := settleMessage(a.request, d.id, d.token)
	for ctx.Err() == nil {
		r, err := a.querySettle(ctx, d.host, m)
		if err == nil {
			return dedup.SettleResult{
				State: dedup.State(r.State), Token: dedup.ParseToken(r.Token), Owner: dedup.Owner{Host: hosts.Name(r.Owner)},
			}
		}
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
		}
	}
	return dedup.SettleResult{State: dedup.StateUnknown}
}

func (a *attempts) querySettle(ctx context.Context, host hosts.Host, m *wire.SettleRequest) (*wire.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleInterval)
	defer cancel()
	client, stop := a.sender.options.NewClient()
	defer stop()
	r, err := newGateClient(client, host.Address).Settle(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func (a *attempts) runMessage(one attempt) *wire.RunRequest {
	return &wire.RunRequest{
		Id: string(one.id), Route: a.request.Route, Workspace: a.request.Workspace, Key: string(a.request.Key),
		Timeout: time.Until(a.request.Deadline).Milliseconds(), Priority: int32(a.request.Priority),
		Body: a.request.Body, Pool: a.pool.Name, Version: a.version, Revision: uint64(a.pools),
		Idempotent: a.request.Key == "", Stream: a.request.Stream, Media: a.request.Media,
		Routes: uint64(a.routes), Token: one.token,
		Marks: poison.Encode(a.sender.options.Registry.MarksOf(a.fingerprint)),
	}
}
