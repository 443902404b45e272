// Package joint_test runs the parts of the programs together in virtual time.
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

// The steps of a request, each with the time at which it is under way.
const (
	stepBefore  trial.Step = "before"
	stepEntry   trial.Step = "to-entry"
	stepAgent   trial.Step = "to-agent"
	stepRun     trial.Step = "run"
	stepReply   trial.Step = "to-entry-back"
	stepAnswer  trial.Step = "to-caller"
	stepResends trial.Step = "resent"
)

var steps = []trial.Step{stepBefore, stepEntry, stepAgent, stepRun, stepReply, stepAnswer, stepResends}

// timeOf returns the middle of a step of an undisturbed request that runs for
// the given time.
func timeOf(s trial.Step, run time.Duration) time.Duration {
	return map[trial.Step]time.Duration{
		stepBefore: 0, stepEntry: hop / 2, stepAgent: hop + hop/2, stepRun: 2*hop + run/2, stepReply: 2*hop + run + hop/2,
		stepAnswer: 3*hop + run + hop/2, stepResends: 3*time.Second + run + hop/2,
	}[s]
}

// somePairs is how many pairs of faults are drawn.
const somePairs = 40

// The faults.
const (
	entryKilled    trial.Fault = "entry-killed"
	entryDrained   trial.Fault = "entry-drained"
	entryCutShort  trial.Fault = "entry-killed-in-drain"
	agentStopped   trial.Fault = "agent-stopped"
	agentKilled    trial.Fault = "agent-killed"
	hostReplaced   trial.Fault = "host-replaced"
	entriesApart   trial.Fault = "entries-apart"
	agentApart     trial.Fault = "agent-apart"
	agentSilent    trial.Fault = "agent-silent"
	callerSilent   trial.Fault = "caller-silent"
	serviceSilent  trial.Fault = "service-silent"
	serviceCrashed trial.Fault = "service-crashed"
	arrivesLate    trial.Fault = "arrives-late"
	rowChanged     trial.Fault = "row-changed"
)

var faults = []trial.Fault{
	entryKilled, entryDrained, entryCutShort, agentStopped, agentKilled, hostReplaced, entriesApart, agentApart,
	agentSilent, callerSilent, serviceSilent, serviceCrashed, arrivesLate, rowChanged,
}

// striker brings the faults of a script about at their steps.
type striker struct {
	world  *world
	script *trial.Script
	// owner is the agent that owns the key, first the entry that gets it.
	owner *process
	first *process
}

func (k *striker) run() {
	start := time.Now()
	for _, s := range steps {
		time.Sleep(time.Until(start.Add(timeOf(s, k.world.takes))))
		for f := k.script.NextFault(s); f != trial.None; f = k.script.NextFault(s) {
			k.strike(f)
		}
	}
}

func (k *striker) strike(f trial.Fault) {
	w, entry, agent := k.world, k.first.host.Address.Addr(), k.owner.host.Address.Addr()
	switch f {
	case entryKilled:
		w.kill(k.first)
	case entryDrained:
		go (&stopper{app: k.first.app}).run()
	case entryCutShort:
		go (&stopper{app: k.first.app}).run()
		time.Sleep(time.Millisecond)
		w.kill(k.first)
	case agentStopped:
		go (&stopper{app: k.owner.app}).run()
	case agentKilled:
		w.kill(k.owner)
		w.startAgent(k.owner.host)
	case hostReplaced:
		w.kill(k.owner)
		other := k.owner.host
		other.Name = "agent-z"
		w.startAgent(other)
		w.publishHosts()
	case entriesApart:
		w.network.Silence(w.entries[0].host.Address.Addr(), w.entries[1].host.Address.Addr())
	case agentApart:
		w.network.Silence(entry, agent)
	case agentSilent:
		w.network.SilenceOpen(entry, agent)
	case callerSilent:
		w.network.SilenceOpen(caller, entry)
	case serviceSilent:
		w.network.SilenceOpen(agent, upstreamOf(k.owner.host).Addr())
	case serviceCrashed:
		w.mutex.Lock()
		life := w.life(upstreamOf(k.owner.host).String())
		w.mutex.Unlock()
		w.crash(upstreamOf(k.owner.host).String(), life)
	case arrivesLate:
		w.late.Store(int64(4 * time.Second))
		w.network.Cut(entry, agent)
	case rowChanged:
		w.publishRow(w.agents[0].host.Name)
	}
}

// newKeys returns a key of each kind, all with one owner.
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

// warm sends keys until their owners take them.
func (w *world) warm() {
	for i := range 20 {
		time.Sleep(bounds.RetryWindow / 4)
		taken := true
		for n, p := range w.entries {
			for m := range 4 {
				taken = w.send(p, calls.Key(fmt.Sprintf("warm-%d-%d-%d", i, n, m))).outcome == calls.OutcomeAnswered && taken
			}
		}
		if taken {
			return
		}
	}
	w.t.Fatal("no key is taken")
}

func (w *world) ownerOf(key calls.Key) *process {
	name := dedup.OwnerOf(key, []hosts.Name{w.agents[0].host.Name, w.agents[1].host.Name}).Host
	if w.agents[0].host.Name == name {
		return w.agents[0]
	}
	return w.agents[1]
}

// isWholeAtOnce tells whether the first sending is answered in spite of the
// faults: a planned stop cuts off nothing that has arrived.
func isWholeAtOnce(c []trial.Injection) bool {
	for _, k := range c {
		planned := k.Fault == entryDrained || k.Fault == entriesApart || k.Fault == rowChanged || k.Fault == agentStopped && timeOf(k.Step, runTime) >= timeOf(stepRun, runTime)
		if !planned && k.Step != stepResends {
			return false
		}
	}
	return true
}

// someCases returns all singles and a seeded choice of pairs.
func someCases() []trial.Case {
	all := trial.Pairs(steps, faults)
	random := rand.New(rand.NewPCG(3, 5))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = append(append([]trial.Case{nil}, trial.Singles(steps, faults)...), all[:somePairs]...)
	var some []trial.Case
	for i := 0; i < len(all); i += caseShare {
		some = append(some, all[i])
	}
	return some
}

// resender sends one key four times through two entries.
type resender struct {
	world   *world
	key     calls.Key
	first   *process
	replies []reply
	// took is the time of the first sending.
	took time.Duration
}

func (r *resender) run() {
	start := time.Now()
	r.replies = []reply{r.world.send(r.first, r.key)}
	r.took = time.Since(start)
	for i, wait := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		time.Sleep(wait)
		r.replies = append(r.replies, r.world.send(r.world.entries[(i+1)%2], r.key))
	}
	time.Sleep(10 * time.Second)
}

func (r *resender) check(t *testing.T, whole bool) {
	ran := r.world.ran(r.key)
	if ran > 1 {
		t.Errorf("key %s ran %d times: %v", r.key, ran, r.replies)
	}
	for _, a := range r.replies {
		if a.outcome == calls.OutcomeNotRun && ran > 0 || a.outcome == calls.OutcomeAnswered && ran == 0 {
			t.Errorf("key %s ran %d times, reported as %s: %s", r.key, ran, a.outcome, a.reason)
		}
	}
	if whole && (r.replies[0].outcome != calls.OutcomeAnswered || r.took != 4*hop+r.world.takes) {
		t.Errorf("key %s, after %s: %v", r.key, r.took, r.replies[0])
	}
}

// TestKeyRunsOnce sends keys of each kind again and again while faults strike the
// parts of the programs.
func TestKeyRunsOnce(t *testing.T) {
	all := someCases()
	for some := range slices.Chunk(all, len(all)/4+1) {
		t.Run("part", func(t *testing.T) {
			t.Parallel()
			trial.Run(t, some, testKeys)
		})
	}
}

func testKeys(t *testing.T, s *trial.Script) {
	w := newWorld(t, 2)
	w.warm()
	owner := w.agents[0]
	k := &striker{world: w, script: s, owner: owner, first: w.entries[0]}
	var all []*resender
	for _, key := range w.newKeys(owner) {
		all = append(all, &resender{world: w, key: key, first: k.first})
	}
	var group sync.WaitGroup
	group.Go(k.run)
	for _, r := range all {
		group.Go(r.run)
	}
	group.Wait()
	for _, r := range all {
		r.check(t, isWholeAtOnce(s.Injected()))
	}
	if s.Remaining() > 0 {
		t.Errorf("%d faults didn't strike", s.Remaining())
	}
}

// TestPlannedStopCutsNothing stops a program while a request runs for longer
// than servers wait for their calls.
func TestPlannedStopCutsNothing(t *testing.T) {
	cases := append(trial.Singles(steps[1:6], []trial.Fault{entryDrained}), trial.Singles(steps[3:6], []trial.Fault{agentStopped})...)
	trial.Run(t, cases, func(t *testing.T, s *trial.Script) {
		w := newWorld(t, 2)
		w.warm()
		w.takes = 20 * time.Second
		k := &striker{world: w, script: s, owner: w.agents[0], first: w.entries[0]}
		r := &resender{world: w, key: w.newKeys(k.owner)[0], first: k.first}
		var group sync.WaitGroup
		group.Go(k.run)
		group.Go(r.run)
		group.Wait()
		r.check(t, true)
	})
}
