package sender

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"currantport.example/core/blame"
	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/retry"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

// attempts are those of one request.
type attempts struct {
	sender  *Sender
	request calls.Request
	pool    tables.Pool
	routes  tables.Revision
	pools   tables.Revision
	sink    Sink
	// fingerprint identifies the request through all its resends.
	fingerprint blame.Fingerprint
	course      *retry.Course
	tried       map[hosts.Name]bool
	// led tells that the leads count the attempt in progress.
	led bool
	// ranked holds the upstreams that are left for a suspect, in their order.
	ranked []hosts.Name
	// version is the one that the chosen upstream serves. The attempt is bound
	// to it.
	version string
	// doubts are the attempts that ended without a word.
	doubts []attempt
}

// attempt is one try at one host.
type attempt struct {
	id   calls.ID
	host hosts.Host
	// token is what the request carries.
	token string
}

func (a *attempts) send(ctx context.Context) *calls.Refusal {
	next := retry.Next{Step: retry.StepRetry}
	if a.request.Key != "" {
		next = retry.Next{Step: retry.StepFollow, Owner: dedup.OwnerOf(a.request.Key, a.pool.Hosts)}
	}
	var host hosts.Host
	for {
		ok := true
		switch next.Step {
		case retry.StepDone:
			return next.Refusal
		case retry.StepRetry:
			host, ok = a.choose()
		case retry.StepFollow:
			host, ok = a.find(next.Owner)
		case retry.StepAgain, retry.StepSettle:
		}
		switch {
		case !ok:
			next = a.course.Unplaced()
		case next.Step == retry.StepSettle:
			settled := a.settle(ctx)
			next = a.course.Settled(time.Now(), settled)
		default:
			a.sink.Reset()
			result := a.tryWith(ctx, host, next.Step == retry.StepAgain)
			a.endLead(result)
			next = a.course.After(time.Now(), result)
		}
	}
}

// choose picks the upstream of the next attempt. A process that isn't current
// picks none.
func (a *attempts) choose() (hosts.Host, bool) {
	s := a.sender
	if !s.options.Current() {
		return hosts.Host{}, false
	}
	if verdict, _ := s.options.Book.Judge(a.fingerprint); verdict == blame.VerdictAlone {
		return a.chooseForSuspect()
	}
	t, ok := s.options.Fleet.Choose(a.pool, a.request.Body, a.tried)
	if !ok {
		return hosts.Host{}, false
	}
	a.led = true
	if name := s.leads.begin(a.fingerprint, t.Host.Name, a.tried); name != t.Host.Name {
		if l, found := s.options.Fleet.Find(a.pool, name); found {
			t = l
		}
	}
	a.tried[t.Host.Name] = true
	a.version = t.Version
	return t.Host, true
}

func (a *attempts) endLead(r retry.Result) {
	if a.led {
		a.led = false
		a.sender.leads.end(time.Now(), a.fingerprint, r.Refusal == nil && !r.Lost)
	}
}

// chooseForSuspect returns the upstream at which a suspect runs. All entries
// choose it alike, so that sendings of one moment meet there.
func (a *attempts) chooseForSuspect() (hosts.Host, bool) {
	if a.ranked == nil {
		a.ranked = hosts.Rank(string(a.fingerprint[:]), a.pool.Hosts)
	}
	for len(a.ranked) > 0 {
		t, ok := a.sender.options.Fleet.Find(a.pool, a.ranked[0])
		a.ranked = a.ranked[1:]
		if ok && t.Host.State != hosts.StateLeaving {
			a.version = t.Version
			return t.Host, true
		}
	}
	return hosts.Host{}, false
}

// find returns the owner of a key. It need not be in the pool any more.
func (a *attempts) find(owner dedup.Owner) (hosts.Host, bool) {
	t, ok := a.sender.options.Fleet.Find(a.pool, owner.Host)
	a.version = t.Version
	return t.Host, ok
}

// tryWith makes an attempt, over a new connection if fresh is set.
func (a *attempts) tryWith(ctx context.Context, host hosts.Host, fresh bool) retry.Result {
	verdict, wait := a.sender.options.Book.Judge(a.fingerprint)
	if verdict == blame.VerdictRefuse && a.request.Key == "" {
		return retry.Result{Refusal: calls.NotRun(calls.ReasonQuarantined, wait, "upstreams were lost each time this request ran")}
	}
	if !fresh {
		return a.try(ctx, a.sender.gates.of(host.Address), host)
	}
	client, stop := a.sender.options.Fresh()
	defer stop()
	return a.try(ctx, newGate(client, host.Address), host)
}

func (a *attempts) try(ctx context.Context, gate wire.GateClient, host hosts.Host) retry.Result {
	s := a.sender
	done := s.options.Fleet.Begin(host.Name)
	defer done()
	one := attempt{id: calls.ID(uuid.NewString()), host: host, token: a.request.Token}
	if a.request.Key == "" {
		one.token = s.lastHeard(host.Name).String()
	}
	t := &transfer{id: one.id, sink: a.sink, metrics: s.options.Metrics, want: a.version, began: time.Now()}
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(time.Until(a.course.Patience()), t.giveUp(cancel))
	defer timer.Stop()
	err := t.run(limited, gate, a.message(one))
	s.options.Fleet.Report(host.Name, t.report(limited, err))
	s.hear(host.Name, t.token)
	s.options.Spread(s.options.Book.Merge(t.marks, string(host.Name))...)
	s.options.Log.Info("attempt", zap.String("request", string(a.request.ID)), zap.String("attempt", string(one.id)),
		zap.String("workspace", a.request.Workspace), zap.String("pool", a.pool.Name), zap.String("host", string(host.Name)),
		zap.Uint64("revision", uint64(a.pools)), zap.String("version", t.version), zap.Error(err))
	r := resultOf(ctx, err)
	r.Begun = a.sink.Begun()
	r.Owner.Host = t.owner
	a.doubt(one, r)
	return r
}

// doubt notes an attempt that has to be settled before its request can be
// reported as not run.
func (a *attempts) doubt(one attempt, r retry.Result) {
	if a.request.Key != "" {
		a.doubts = []attempt{one}
		return
	}
	if r.Lost && !r.Unsent {
		a.doubts = append(a.doubts, one)
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

// settle asks over new connections what became of the attempts in doubt. The
// result is that of all of them together.
func (a *attempts) settle(ctx context.Context) dedup.SettleResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	settled := dedup.SettleResult{State: dedup.StateFenced}
	for _, d := range a.doubts {
		settled = a.settleOne(ctx, d)
		if settled.State != dedup.StateFenced {
			return settled
		}
	}
	return settled
}

// settleOne asks until there is an answer or the time is over.
func (a *attempts) settleOne(ctx context.Context, d attempt) dedup.SettleResult {
	m := settleMessage(a.request, d.id, d.token)
	for ctx.Err() == nil {
		r, err := a.ask(ctx, d.host, m)
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

func (a *attempts) ask(ctx context.Context, host hosts.Host, m *wire.SettleRequest) (*wire.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleInterval)
	defer cancel()
	client, stop := a.sender.options.Fresh()
	defer stop()
	r, err := newGate(client, host.Address).Settle(ctx, connect.NewRequest(m))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func (a *attempts) message(one attempt) *wire.RunRequest {
	return &wire.RunRequest{
		Id: string(one.id), Route: a.request.Route, Workspace: a.request.Workspace, Key: string(a.request.Key),
		Timeout: time.Until(a.request.Deadline).Milliseconds(), Priority: int32(a.request.Priority),
		Body: a.request.Body, Pool: a.pool.Name, Version: a.version, Revision: uint64(a.pools),
		Idempotent: a.request.Key == "", Stream: a.request.Stream, Media: a.request.Media,
		Routes: uint64(a.routes), Token: one.token,
		Marks: blame.Encode(a.sender.options.Book.Of(a.fingerprint)),
	}
}
