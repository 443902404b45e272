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

// upstream runs requests. It outlives its agent.
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
	a.rename(dedup.Owner{Host: host, Incarnation: dedup.Incarnation(fmt.Sprintf("i%d", incarnations))})
	w.at(max(0, start-w.now), &a.process, a.tick)
	return a
}

func (a *agent) rename(self dedup.Owner) {
	a.self = self
	a.claims = dedup.NewClaims(epoch.Add(a.start+a.skew), self, bounds)
	a.memory = dedup.NewMemory(dedup.DefaultOptions(self), a.claims)
}

func (a *agent) clock() time.Time { return epoch.Add(a.world.now + a.skew) }

// tick claims what isn't held.
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

// call runs the request at the upstream. The agent may be gone by then.
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
	for _, again := range waiting {
		again()
	}
}

// settle answers what became of an attempt.
func (a *agent) settle(m dedup.Attempt) dedup.SettleResult {
	if a.world.mutation == mutateFence && !a.memory.HasStarted(m.Key) {
		return dedup.SettleResult{State: dedup.StateFenced}
	}
	a.claims.Update(routeName, a.row)
	return a.memory.Settle(a.clock(), m)
}

type entry struct {
	process
	world *world
	tries []*try
}

// try is a request in progress at an entry.
type try struct {
	entry   *entry
	message dedup.Attempt
	course  *retry.Course
	until   time.Duration
	at      *agent
	// round grows with each step, so that an old reply doesn't count.
	round int
	done  bool
	tell  func(*calls.Refusal)
}

func (e *entry) accept(m dedup.Attempt, tell func(*calls.Refusal)) {
	t := &try{entry: e, message: m, until: e.world.now + sendLimit, tell: tell}
	t.course = retry.NewCourse(epoch.Add(e.world.now), calls.Request{Key: m.Key.Value, Deadline: epoch.Add(t.until)}, func() bool { return false })
	e.tries = append(e.tries, t)
	t.follow(dedup.OwnerOf(m.Key.Value, e.row.Hosts).Host)
}

// reset tells the requests in progress that a connection was cut.
func (e *entry) reset(old *agent) {
	for _, t := range e.tries {
		if t.at == old && !t.done {
			t.end(t.round, retry.Result{Lost: true})
		}
	}
}

func (t *try) follow(host hosts.Name) {
	t.at = t.entry.world.find(host)
	if t.at == nil {
		t.next(t.course.Unplaced())
		return
	}
	t.attempt(false)
}

func (t *try) attempt(fresh bool) {
	w, a, e := t.entry.world, t.at, t.entry
	t.round++
	round := t.round
	slot := slices.Index(w.agents, a)
	w.send(&e.process, &a.process, fresh, func() { t.arrive(w.agents[slot], round, fresh) })
	w.at(max(0, t.course.Patience().Sub(epoch)-w.now), &e.process, func() { t.end(round, retry.Result{Lost: true}) })
}

func (t *try) arrive(a *agent, round int, fresh bool) {
	w, e := t.entry.world, t.entry
	a.serve(t.message, func(r retry.Result) {
		w.send(&a.process, &e.process, fresh, func() { t.end(round, r) })
	})
}

func (t *try) end(round int, r retry.Result) {
	if t.done || round != t.round {
		return
	}
	t.next(t.course.After(epoch.Add(t.entry.world.now), r))
}

func (t *try) next(n retry.Next) {
	t.round++
	switch n.Step {
	case retry.StepDone:
		t.done = true
		t.tell(n.Refusal)
	case retry.StepFollow:
		t.follow(n.Owner.Host)
	case retry.StepAgain:
		t.attempt(true)
	case retry.StepSettle:
		t.settle()
	case retry.StepRetry:
		panic("a key is retried elsewhere")
	}
}

func (t *try) settle() {
	w, e, a, round := t.entry.world, t.entry, t.at, t.round
	if w.mutation == mutateSettle {
		t.next(retry.Next{Refusal: calls.NotRun(calls.ReasonLost, 0, "nothing came back")})
		return
	}
	end := func(s dedup.SettleResult) {
		if !t.done && round == t.round {
			t.next(t.course.Settled(epoch.Add(w.now), s))
		}
	}
	w.at(time.Second, &e.process, func() { end(dedup.SettleResult{State: dedup.StateUnknown}) })
	for i := range settleAsks {
		w.at(time.Duration(i)*settleInterval, &e.process, func() { t.ask(a.host, end) })
	}
}

// ask asks the process at a host once.
func (t *try) ask(host hosts.Name, end func(dedup.SettleResult)) {
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

// caller sends one key up to four times.
type caller struct {
	world *world
	key   calls.Key
	token string
	sends int
	// told counts the outcomes.
	told     map[calls.Outcome]int
	needless int
	unproved int
	falsenot int
	// refused tells that the last word was "not run".
	refused bool
}

func (c *caller) begin() {
	w := c.world
	c.told = make(map[calls.Outcome]int)
	switch w.kind {
	case kindMinted:
		a := w.agents[w.rng.IntN(2)]
		c.key = a.memory.Mint()
	case kindTimed:
		c.key = w.timedKey()
	case kindOpaque:
		c.key = calls.Key(fmt.Sprintf("order-%d", w.rng.Uint64()))
	}
	c.send()
}

func (c *caller) send() {
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
				c.hear(r, e, m)
			}
		})
	})
	w.at(sendLimit+2*time.Second, nil, func() {
		if open {
			open = false
			c.again(number)
		}
	})
}

// hear takes the final answer to a sending.
func (c *caller) hear(r *calls.Refusal, e *entry, m dedup.Attempt) {
	outcome := calls.OutcomeAnswered
	if r != nil {
		outcome = r.Outcome
	}
	c.told[outcome]++
	switch outcome {
	case calls.OutcomeNotRun:
		c.refused = true
		if c.world.runs > 0 {
			c.falsenot++
		}
		c.token = ""
		if c.world.rng.IntN(3) == 0 {
			c.token = r.Token
		}
	case calls.OutcomeUnknown:
		c.judge(e, m)
	}
	c.again(c.sends)
}

// judge finds unknowns that were needless: a process that the entry could have
// asked held the proof.
func (c *caller) judge(e *entry, m dedup.Attempt) {
	w := c.world
	if w.runs == 0 {
		c.unproved++
	}
	for _, a := range w.agents {
		if a.dead || a.paused > w.now || a.group != e.group {
			continue
		}
		if a.proves(m) {
			c.needless++
			return
		}
	}
}

// proves reports whether the agent could tell what became of the key: it holds
// the recorded answer, or it may start the key.
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

func (c *caller) again(number int) {
	w := c.world
	if number != c.sends || c.sends == 4 {
		return
	}
	w.at(time.Duration(w.rng.IntN(3000))*time.Millisecond, nil, c.send)
}
