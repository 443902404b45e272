// Package joint_test runs whole entries and agents together in virtual time, on an
// in-memory network and with fakes of the platform.
package joint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/trial"
)

// The steps of the request lifecycle. See midpointOf for their times.
const (
	stepBefore   trial.Step = "before"
	stepEntry    trial.Step = "to-entry"
	stepAgent    trial.Step = "to-agent"
	stepRun      trial.Step = "run"
	stepReply    trial.Step = "to-entry-back"
	stepResponse trial.Step = "to-client"
	stepRetries  trial.Step = "retried"
)

var steps = []trial.Step{stepBefore, stepEntry, stepAgent, stepRun, stepReply, stepResponse, stepRetries}

// midpointOf returns the time, from the start of an undisturbed request that runs
// for the given time, to the middle of a step.
func midpointOf(s trial.Step, run time.Duration) time.Duration {
	return map[trial.Step]time.Duration{
		stepBefore: 0, stepEntry: hopDelay / 2, stepAgent: hopDelay + hopDelay/2, stepRun: 2*hopDelay + run/2, stepReply: 2*hopDelay + run + hopDelay/2,
		stepResponse: 3*hopDelay + run + hopDelay/2, stepRetries: 3*time.Second + run + hopDelay/2,
	}[s]
}

// pairCount is the number of random pairs of faults.
const pairCount = 40

// The faults that are injected.
const (
	entryKilled        trial.Fault = "entry-killed"
	entryDrained       trial.Fault = "entry-drained"
	entryKilledInDrain trial.Fault = "entry-killed-in-drain"
	agentStopped       trial.Fault = "agent-stopped"
	agentKilled        trial.Fault = "agent-killed"
	hostReplaced       trial.Fault = "host-replaced"
	entriesPartitioned trial.Fault = "entries-partitioned"
	agentPartitioned   trial.Fault = "agent-partitioned"
	agentSilent        trial.Fault = "agent-silent"
	clientSilent       trial.Fault = "client-silent"
	serviceSilent      trial.Fault = "service-silent"
	serviceCrashed     trial.Fault = "service-crashed"
	requestDelayed     trial.Fault = "request-delayed"
	rowChanged         trial.Fault = "row-changed"
)

var faults = []trial.Fault{
	entryKilled, entryDrained, entryKilledInDrain, agentStopped, agentKilled, hostReplaced, entriesPartitioned, agentPartitioned,
	agentSilent, clientSilent, serviceSilent, serviceCrashed, requestDelayed, rowChanged,
}

// injector injects the faults of a script at their steps.
type injector struct {
	world  *world
	script *trial.Script
	// owner is the agent that owns the keys, first the entry that receives the first
	// attempts.
	owner *process
	first *process
}

func (j *injector) run() {
	start := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(midpointOf(s, j.world.runTime))))
		for f := j.script.NextFault(s); f != trial.None; f = j.script.NextFault(s) {
			j.inject(f)
		}
	}
}

func (j *injector) inject(f trial.Fault) {
	w, entry, agent := j.world, j.first.host.Address.Addr(), j.owner.host.Address.Addr()
	switch f {
	case entryKilled:
		w.kill(j.first)
	case entryDrained:
		go (&stopper{app: j.first.app}).run()
	case entryKilledInDrain:
		go (&stopper{app: j.first.app}).run()
		time.Sleep(time.Millisecond)
		w.kill(j.first)
	case agentStopped:
		go (&stopper{app: j.owner.app}).run()
	case agentKilled:
		w.kill(j.owner)
		w.startAgent(j.owner.host)
	case hostReplaced:
		w.kill(j.owner)
		other := j.owner.host
		other.Name = "agent-z"
		w.startAgent(other)
		w.publishHosts()
	case entriesPartitioned:
		w.network.Silence(w.entries[0].host.Address.Addr(), w.entries[1].host.Address.Addr())
	case agentPartitioned:
		w.network.Silence(entry, agent)
	case agentSilent:
		w.network.SilenceOpen(entry, agent)
	case clientSilent:
		w.network.SilenceOpen(clientAddr, entry)
	case serviceSilent:
		w.network.SilenceOpen(agent, upstreamOf(j.owner.host).Addr())
	case serviceCrashed:
		w.mutex.Lock()
		signal := w.crashSignal(upstreamOf(j.owner.host).String())
		w.mutex.Unlock()
		w.crash(upstreamOf(j.owner.host).String(), signal)
	case requestDelayed:
		w.extraDelay.Store(int64(4 * time.Second))
		w.network.Cut(entry, agent)
	case rowChanged:
		w.publishRow(w.agents[0].host.Name)
	}
}

// newKeys returns a key of each kind (minted, UUIDv7, without a time), all with the
// same owner.
func (w *world) newKeys(owner *process) []calls.Key {
	makers := []func(i int) calls.Key{
		func(int) calls.Key { return w.mint(w.entries[0]) },
		func(int) calls.Key { return calls.Key(uuid.Must(uuid.NewV7()).String()) },
		func(i int) calls.Key { return calls.Key(fmt.Sprint("timeless-", i)) },
	}
	var keys []calls.Key
	for _, m := range makers {
		i := 0
		key := m(i)
		for w.ownerOf(key) != owner {
			i++
			key = m(i)
		}
		keys = append(keys, key)
	}
	return keys
}

// warmUp sends new keys until their owners accept all of a round.
func (w *world) warmUp() {
	for i := range 20 {
		time.Sleep(bounds.RetryWindow / 4)
		accepted := true
		for n, p := range w.entries {
			for m := range 4 {
				accepted = w.send(p, calls.Key(fmt.Sprintf("warm-%d-%d-%d", i, n, m))).outcome == calls.OutcomeAnswered && accepted
			}
		}
		if accepted {
			return
		}
	}
	w.t.Fatal("the owners accepted no full round of keys")
}

func (w *world) ownerOf(key calls.Key) *process {
	name := dedup.OwnerOf(key, []hosts.Name{w.agents[0].host.Name, w.agents[1].host.Name}).Host
	if w.agents[0].host.Name == name {
		return w.agents[0]
	}
	return w.agents[1]
}

// mustAnswerFirstAttempt reports whether the first attempt must be answered despite
// the faults: a graceful shutdown interrupts no request that has arrived.
func mustAnswerFirstAttempt(c []trial.Injection) bool {
	for _, k := range c {
		planned := k.Fault == entryDrained || k.Fault == entriesPartitioned || k.Fault == rowChanged || k.Fault == agentStopped && midpointOf(k.Step, defaultRunTime) >= midpointOf(stepRun, defaultRunTime)
		if !planned && k.Step != stepRetries {
			return false
		}
	}
	return true
}

// selectCases returns the case without faults, all single faults and pairCount
// pairs chosen with a fixed seed, thinned out by caseStride.
func selectCases() []trial.Case {
	all := trial.Pairs(steps, faults)
	random := rand.New(rand.NewPCG(3, 5))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = append(append([]trial.Case{nil}, trial.Singles(steps, faults)...), all[:pairCount]...)
	var selected []trial.Case
	for i := 0; i < len(all); i += caseStride {
		selected = append(selected, all[i])
	}
	return selected
}

// retrier sends one key four times, alternating between two entries.
type retrier struct {
	world   *world
	key     calls.Key
	first   *process
	replies []reply
	// firstDuration is the duration of the first attempt.
	firstDuration time.Duration
}

func (r *retrier) run() {
	start := time.Now()
	r.replies = []reply{r.world.send(r.first, r.key)}
	r.firstDuration = time.Since(start)
	for i, wait := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		time.Sleep(wait)
		r.replies = append(r.replies, r.world.send(r.world.entries[(i+1)%2], r.key))
	}
	time.Sleep(10 * time.Second)
}

func (r *retrier) check(t *testing.T, wantAnswered bool) {
	ran := r.world.runsOf(r.key)
	if ran > 1 {
		t.Errorf("key %s ran %d times: %v", r.key, ran, r.replies)
	}
	for _, p := range r.replies {
		if p.outcome == calls.OutcomeNotRun && ran > 0 || p.outcome == calls.OutcomeAnswered && ran == 0 {
			t.Errorf("key %s ran %d times, reported as %s: %s", r.key, ran, p.outcome, p.reason)
		}
	}
	if wantAnswered && (r.replies[0].outcome != calls.OutcomeAnswered || r.firstDuration != 4*hopDelay+r.world.runTime) {
		t.Errorf("key %s: the first attempt took %s and returned %v", r.key, r.firstDuration, r.replies[0])
	}
}

// TestKeyRunsOnce retries keys of each kind while faults are injected. No key may
// run twice, and no reply may contradict the number of runs.
func TestKeyRunsOnce(t *testing.T) {
	all := selectCases()
	for chunk := range slices.Chunk(all, len(all)/4+1) {
		t.Run("part", func(t *testing.T) {
			t.Parallel()
			trial.Run(t, chunk, testRetriedKeys)
		})
	}
}

func testRetriedKeys(t *testing.T, s *trial.Script) {
	w := newWorld(t, 2)
	w.warmUp()
	owner := w.agents[0]
	j := &injector{world: w, script: s, owner: owner, first: w.entries[0]}
	var all []*retrier
	for _, key := range w.newKeys(owner) {
		all = append(all, &retrier{world: w, key: key, first: j.first})
	}
	var group sync.WaitGroup
	group.Go(j.run)
	for _, r := range all {
		group.Go(r.run)
	}
	group.Wait()
	for _, r := range all {
		r.check(t, mustAnswerFirstAttempt(s.Injected()))
	}
	if s.Remaining() > 0 {
		t.Errorf("%d faults were not injected", s.Remaining())
	}
}

// TestPlannedStopAbortsNoRequest shuts a program down gracefully while a request runs
// for longer than servers wait for calls in progress.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	cases := append(trial.Singles(steps[1:6], []trial.Fault{entryDrained}), trial.Singles(steps[3:6], []trial.Fault{agentStopped})...)
	trial.Run(t, cases, func(t *testing.T, s *trial.Script) {
		w := newWorld(t, 2)
		w.warmUp()
		w.runTime = 20 * time.Second
		j := &injector{world: w, script: s, owner: w.agents[0], first: w.entries[0]}
		r := &retrier{world: w, key: w.newKeys(j.owner)[0], first: j.first}
		var group sync.WaitGroup
		group.Go(j.run)
		group.Go(r.run)
		group.Wait()
		r.check(t, true)
	})
}
