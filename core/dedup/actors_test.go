package dedup_test

import (
	"fmt"
	"slices"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/retry"
)

// upstream runs requests. It keeps running when its agent restarts.
type upstream struct{ process }

type agent struct {
	process
	world    *world
	self     dedup.Owner
	claims   *dedup.Claims
	memory   *dedup.Memory
	upstream *upstream
	start    time.Duration
	waiting  []func()
}

var incarnations int

func newAgent(w *world, host hosts.Name, start time.Duration) *agent {
	a := &agent{
		process: process{host: host, silent: map[*process]bool{}, skew: time.Duration(w.rng.IntN(180)) * time.Millisecond},
		world:   w, start: start, upstream: &upstream{},
	}
	incarnations++
	a.setIdentity(dedup.Owner{Host: host, Incarnation: dedup.Incarnation(fmt.Sprintf("i%d", incarnations))})
	w.at(max(0, start-w.now), &a.process, a.tick)
	return a
}

func (a *agent) setIdentity(self dedup.Owner) {
	a.self = self
	a.claims = dedup.NewClaims(epoch.Add(a.start+a.skew), self, bounds)
	a.memory = dedup.NewMemory(dedup.DefaultOptions(self), a.claims)
}

func (a *agent) clock() time.Time { return epoch.Add(a.world.now + a.skew) }

// tick makes the claim that isn't active yet.
func (a *agent) tick() {
	w := a.world
	a.claims.Update(routeName, a.row)
	listed := w.listed()
	k, missing := a.claims.Pending(routeName, listed)
	for _, h := range missing {
		if w.mutation == mutateClaims {
			a.claims.RecordGrant(k, h, epoch.Add(-time.Hour))
			continue
		}
		if b := w.find(h); b != nil {
			w.send(&a.process, &b.process, true, func() { b.yield(a, k) })
		}
	}
	a.memory.ActivateClaim(a.clock(), routeName, listed)
	w.at(500*time.Millisecond, &a.process, a.tick)
}

func (a *agent) yield(to *agent, k dedup.Claim) {
	a.claims.Update(routeName, a.row)
	if !a.claims.Yield(k) {
		return
	}
	held, age := a.memory.HeldKeys(k), a.world.now-a.start
	a.world.send(&a.process, &to.process, true, func() {
		if to.memory.Adopt(to.clock(), held) {
			to.claims.RecordGrant(k, a.host, to.clock().Add(-age))
		}
	})
}

// serve decides on an attempt and replies.
func (a *agent) serve(m dedup.Attempt, reply func(retry.Result)) {
	w := a.world
	a.claims.Update(routeName, a.row)
	if w.mutation == mutateToken {
		m.Token = a.memory.Settle(a.clock(), m).Token
	}
	v := a.memory.Begin(a.clock(), m)
	switch v.Action {
	case dedup.ActionRefuse:
		reply(retry.Result{Refusal: v.Refusal, Owner: v.Owner})
	case dedup.ActionReplay:
		reply(retry.Result{})
	case dedup.ActionJoin:
		a.waiting = append(a.waiting, func() { a.serve(m, reply) })
	case dedup.ActionStart:
		w.at(time.Millisecond, &a.upstream.process, func() { a.call(m, reply) })
	}
}

// call runs the request at the upstream. The agent may have ended by then.
func (a *agent) call(m dedup.Attempt, reply func(retry.Result)) {
	w := a.world
	if w.refuse {
		w.refuse = false
		w.at(time.Millisecond, &a.process, func() {
			v := a.memory.RecordNotRun(a.clock(), m, calls.NotRun(calls.ReasonUpstream, time.Second, "refused"))
			reply(retry.Result{Refusal: v.Refusal})
			a.wake()
		})
		return
	}
	w.runs++
	crash := w.crash
	w.crash = false
	w.at(time.Duration(1+w.rng.IntN(200))*time.Millisecond, &a.process, func() {
		if crash {
			a.memory.Finish(a.clock(), m, nil)
			reply(retry.Result{Refusal: calls.Unknown(calls.ReasonUpstream, time.Second, "crashed")})
		} else {
			a.memory.Finish(a.clock(), m, &dedup.Response{Status: 200})
			reply(retry.Result{})
		}
		a.wake()
	})
}

func (a *agent) wake() {
	waiting := a.waiting
	a.waiting = nil
	for _, resume := range waiting {
		resume()
	}
}

// settle reports what became of an attempt.
func (a *agent) settle(m dedup.Attempt) dedup.SettleResult {
	if a.world.mutation == mutateFence && !a.memory.HasStarted(m.Key) {
		return dedup.SettleResult{State: dedup.StateFenced}
	}
	a.claims.Update(routeName, a.row)
	return a.memory.Settle(a.clock(), m)
}

type entry struct {
	process
	world    *world
	requests []*inflight
}

// inflight is a request in progress at an entry.
type inflight struct {
	entry    *entry
	message  dedup.Attempt
	attempts *retry.Attempts
	deadline time.Duration
	target   *agent
	// round increases with each step, so that late replies are ignored.
	round   int
	done    bool
	respond func(*calls.Refusal)
}

func (e *entry) accept(m dedup.Attempt, respond func(*calls.Refusal)) {
	t := &inflight{entry: e, message: m, deadline: e.world.now + sendLimit, respond: respond}
	t.attempts = retry.NewAttempts(epoch.Add(e.world.now), calls.Request{Key: m.Key.Value, Deadline: epoch.Add(t.deadline)}, func() bool { return false })
	e.requests = append(e.requests, t)
	t.follow(dedup.OwnerOf(m.Key.Value, e.row.Hosts).Host)
}

// reset ends the attempts in progress whose connection was cut.
func (e *entry) reset(old *agent) {
	for _, t := range e.requests {
		if t.target == old && !t.done {
			t.end(t.round, retry.Result{Lost: true})
		}
	}
}

func (t *inflight) follow(host hosts.Name) {
	t.target = t.entry.world.find(host)
	if t.target == nil {
		t.next(t.attempts.NextUnplaced())
		return
	}
	t.send(false)
}

func (t *inflight) send(fresh bool) {
	w, a, e := t.entry.world, t.target, t.entry
	t.round++
	round := t.round
	slot := slices.Index(w.agents, a)
	w.send(&e.process, &a.process, fresh, func() { t.arrive(w.agents[slot], round, fresh) })
	w.at(max(0, t.attempts.AttemptDeadline().Sub(epoch)-w.now), &e.process, func() { t.end(round, retry.Result{Lost: true}) })
}

func (t *inflight) arrive(a *agent, round int, fresh bool) {
	w, e := t.entry.world, t.entry
	a.serve(t.message, func(r retry.Result) {
		w.send(&a.process, &e.process, fresh, func() { t.end(round, r) })
	})
}

func (t *inflight) end(round int, r retry.Result) {
	if t.done || round != t.round {
		return
	}
	t.next(t.attempts.Next(epoch.Add(t.entry.world.now), r))
}

func (t *inflight) next(n retry.Decision) {
	t.round++
	switch n.Step {
	case retry.StepDone:
		t.done = true
		t.respond(n.Refusal)
	case retry.StepFollow:
		t.follow(n.Owner.Host)
	case retry.StepReconnect:
		t.send(true)
	case retry.StepSettle:
		t.settle()
	case retry.StepRetry:
		panic("a key is retried elsewhere")
	}
}

func (t *inflight) settle() {
	w, e, a, round := t.entry.world, t.entry, t.target, t.round
	if w.mutation == mutateSettle {
		t.next(retry.Decision{Refusal: calls.NotRun(calls.ReasonLost, 0, "no response")})
		return
	}
	end := func(s dedup.SettleResult) {
		if !t.done && round == t.round {
			t.next(t.attempts.NextSettled(epoch.Add(w.now), s))
		}
	}
	w.at(time.Second, &e.process, func() { end(dedup.SettleResult{State: dedup.StateUnknown}) })
	for i := range settleQueries {
		w.at(time.Duration(i)*settleInterval, &e.process, func() { t.query(a.host, end) })
	}
}

// query sends one settle query to the process at a host.
func (t *inflight) query(host hosts.Name, end func(dedup.SettleResult)) {
	w, e := t.entry.world, t.entry
	a := w.find(host)
	if a == nil {
		return
	}
	w.send(&e.process, &a.process, true, func() {
		s := a.settle(t.message)
		w.send(&a.process, &e.process, true, func() { end(s) })
	})
}

// client sends one key up to four times.
type client struct {
	world *world
	key   calls.Key
	token string
	sends int
	// outcomes counts the responses by outcome.
	outcomes        map[calls.Outcome]int
	needlessUnknown int
	unproven        int
	falseNotRun     int
	// refused is set while the last outcome is "not run".
	refused bool
}

func (c *client) begin() {
	w := c.world
	c.outcomes = make(map[calls.Outcome]int)
	switch w.kind {
	case kindMinted:
		a := w.agents[w.rng.IntN(2)]
		c.key = a.memory.Mint()
	case kindTimestamped:
		c.key = w.timedKey()
	case kindOpaque:
		c.key = calls.Key(fmt.Sprintf("order-%d", w.rng.Uint64()))
	}
	c.send()
}

func (c *client) send() {
	w := c.world
	c.sends++
	e := w.entries[w.rng.IntN(2)]
	request := calls.Request{Key: c.key, Workspace: "meadow", Route: routeName}
	m := dedup.Attempt{
		ID: calls.ID(fmt.Sprint(c.sends)), Key: dedup.ScopedKeyOf(request), Token: dedup.ParseToken(c.token),
		Digest: dedup.DigestOf("meadow", routeName, "", nil),
	}
	if c.token != "" {
		c.refused = false
	}
	number, open := c.sends, true
	w.at(time.Millisecond, &e.process, func() {
		e.accept(m, func(r *calls.Refusal) {
			if open {
				open = false
				c.receive(r, e, m)
			}
		})
	})
	w.at(sendLimit+2*time.Second, nil, func() {
		if open {
			open = false
			c.scheduleRetry(number)
		}
	})
}

// receive handles the final response to one send of the key.
func (c *client) receive(r *calls.Refusal, e *entry, m dedup.Attempt) {
	outcome := calls.OutcomeAnswered
	if r != nil {
		outcome = r.Outcome
	}
	c.outcomes[outcome]++
	switch outcome {
	case calls.OutcomeNotRun:
		c.refused = true
		if c.world.runs > 0 {
			c.falseNotRun++
		}
		c.token = ""
		if c.world.rng.IntN(3) == 0 {
			c.token = r.Token
		}
	case calls.OutcomeUnknown:
		c.countUnknown(e, m)
	}
	c.scheduleRetry(c.sends)
}

// countUnknown counts outcomes that didn't have to be unknown: a process that the entry
// could reach knew the outcome.
func (c *client) countUnknown(e *entry, m dedup.Attempt) {
	w := c.world
	if w.runs == 0 {
		c.unproven++
	}
	for _, a := range w.agents {
		if a.dead || a.paused > w.now || a.partition != e.partition {
			continue
		}
		if a.proves(m) {
			c.needlessUnknown++
			return
		}
	}
}

// proves reports whether the agent knows what became of the key: it has
// the recorded response, or it may start the key.
func (a *agent) proves(m dedup.Attempt) bool {
	probe := *a.memory
	if probe.HasStarted(m.Key) {
		v := probe.Begin(a.clock(), m)
		return v.Action == dedup.ActionReplay
	}
	if k, minted := dedup.ParseMinted(m.Key.Value); minted {
		return k.Owner == a.self
	}
	_, refusal := a.claims.Check(a.clock(), m.Key)
	return refusal == nil
}

func (c *client) scheduleRetry(number int) {
	w := c.world
	if number != c.sends || c.sends == 4 {
		return
	}
	w.at(time.Duration(w.rng.IntN(3000))*time.Millisecond, nil, c.send)
}
