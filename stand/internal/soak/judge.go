package soak

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/platform/fakes"
)

const (
	// judgeGap is the time between two looks at what has ended.
	judgeGap = 500 * time.Millisecond
	// settleTime is the time after the end of a request by which its upstreams have
	// recorded what they did.
	settleTime = 3 * time.Second
	// regressTime is the time after which a process that has shown a configuration may not
	// go by an older one.
	regressTime = 250 * time.Millisecond
	// leaveTime is the time after a caller has left within which work for it ends.
	leaveTime = 500 * time.Millisecond
	// heldTime is how much longer than the timeout of its route a request may be kept.
	heldTime = 500 * time.Millisecond
	// lossTime is the time after which a request that was sent counts as read.
	lossTime = 200 * time.Millisecond
	// fewEvents is how often a promise may be missed that the users give a few events.
	fewEvents = 3
	// deniedCount and deniedShare are how many proper requests may be denied: a number and
	// one in so many.
	deniedCount = 5
	deniedShare = 500
	// servedShare is the share of requests that are served after a recovery at least.
	servedShare = 0.25
	// workShare is the largest share of requests whose work may go on after the caller has
	// left.
	workShare = 0.25
)

// judge checks what callers and upstreams saw. Goroutines share it.
type judge struct {
	world *world

	mutex sync.Mutex
	// open are requests that haven't ended or that may still run.
	open []*sent
	all  []*sent
	// shown is the newest configuration that a start of an entry has shown, and when.
	shown  map[start]shown
	counts map[string]int
	firsts map[string]string
	// requests and good count what has ended.
	requests int
	good     int
	// repeats is set by finish.
	repeats int
}

// start is one start of a process.
type start struct {
	name Subject
	boot int
}

type shown struct {
	generation int
	at         time.Time
}

func newJudge(w *world) *judge {
	return &judge{world: w, shown: make(map[start]shown), counts: make(map[string]int), firsts: make(map[string]string)}
}

// report counts a broken promise.
func (j *judge) report(check, format string, values ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.note(check, fmt.Sprintf(format, values...))
}

func (j *judge) note(check, text string) {
	if j.counts[check] == 0 {
		j.firsts[check] = text
	}
	j.counts[check]++
}

func (j *judge) broken() []Broken {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var all []Broken
	for c, n := range j.counts {
		all = append(all, Broken{Check: c, Count: n, First: j.firsts[c]})
	}
	slices.SortFunc(all, func(a, b Broken) int { return cmp.Compare(a.Check, b.Check) })
	return all
}

func (j *judge) begun(s *sent) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.all = append(j.all, s)
}

func (j *judge) ended(s *sent) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.open = append(j.open, s)
	j.requests++
	if s.answer.IsSuccess() {
		j.good++
	}
}

// totals returns how many requests have ended and how many of them well.
func (j *judge) totals() (requests, good int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.requests, j.good
}

// run checks requests once they have settled.
func (j *judge) run(ctx context.Context) {
	for ctx.Err() == nil {
		clocks.Sleep(ctx, judgeGap)
		for _, s := range j.settled(time.Now().Add(-settleTime)) {
			j.check(s)
		}
	}
}

// settled takes the requests that ended before a time, in the order of their end.
func (j *judge) settled(before time.Time) []*sent {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	n := 0
	for n < len(j.open) && j.open[n].done.Before(before) {
		n++
	}
	ready := j.open[:n]
	j.open = j.open[n:]
	return ready
}

// check judges one request by itself.
func (j *judge) check(s *sent) {
	runs := j.world.ledger.RunsOf(s.ID)
	for _, f := range checkRequest(s, runs) {
		j.report(f.check, "%s %s at %s through %s: %s", s.kind.name, s.ID, j.world.timeline.since(s.at), s.entry.name, f.text)
	}
	j.checkConfig(s, runs)
	for i := range runs {
		j.checkRun(s, &runs[i])
	}
}

// finding is a check that failed and what was seen.
type finding struct{ check, text string }

// checkRequest compares an answer with what the upstreams did. These promises hold
// always.
func checkRequest(s *sent, runs []fakes.Run) []finding {
	var all []finding
	began := 0
	for _, r := range runs {
		if r.StartedAt.IsZero() {
			continue
		}
		began++
		if r.Target != s.Target || r.BodyDigest != s.digest {
			all = append(all, finding{"unchanged", "an upstream ran " + r.Target + " with another body or path"})
		}
		if r.Workspace != s.key.workspace || r.Credential != "" {
			all = append(all, finding{"workspace", fmt.Sprintf("ran for workspace %q of %q, key passed on: %t", r.Workspace, s.key.workspace, r.Credential != "")})
		}
	}
	if !s.kind.repeatable && began > 1 {
		all = append(all, finding{"once", fmt.Sprintf("ran %d times", began)})
	}
	if !s.kind.repeatable && s.answer.IsNotRun() && began > 0 {
		all = append(all, finding{"refused", fmt.Sprintf("answered %d and ran", s.answer.Status)})
	}
	if text := checkAnswer(s, runs); text != "" {
		all = append(all, finding{"answer", text})
	}
	return all
}

// checkRun judges one run of a request by the promises that have a time bound.
func (j *judge) checkRun(s *sent, r *fakes.Run) {
	w := j.world
	k := w.operator.keyOf(s.Credential)
	at := w.timeline.since(s.at)
	if !r.StartedAt.IsZero() && !k.revoked.IsZero() && s.at.Sub(k.revoked) > revokeTime {
		j.report("revoked", "%s at %s through %s ran %s after its key was taken away", s.ID, at, s.entry.name, s.at.Sub(k.revoked))
	}
	if drained, ok := w.operator.drainOf(r.UpstreamID); ok && r.ReceivedAt.Sub(drained) > drainTime && r.Status != statusMoved &&
		w.timeline.calm(drained, r.ReceivedAt, s.entry.name, subjectStore) {
		j.report("drain", "%s at %s through %s came to %s %s after it was drained", s.ID, at, s.entry.name, r.UpstreamID, r.ReceivedAt.Sub(drained))
	}
	_, versions := w.operator.history()
	for _, v := range versions {
		if r.StartedAt.IsZero() || r.Version == 0 || r.Version >= v.number || r.StartedAt.Sub(v.taken) <= versionTime || s.at.Sub(v.taken) <= versionTime {
			continue
		}
		if w.timeline.calm(v.taken, r.StartedAt, s.entry.name, subjectStore) {
			j.report("version", "%s at %s through %s began on version %d %s after %d was released", s.ID, at, s.entry.name, r.Version, r.StartedAt.Sub(v.taken), v.number)
			break
		}
	}
}

// statusMoved is that of an upstream that isn't the one that the request names.
const statusMoved = 421

// finish judges what is left and what only the whole run shows. Calm is when the last
// calm part began.
func (j *judge) finish(calm time.Time) {
	time.Sleep(settleTime)
	for _, s := range j.settled(time.Now()) {
		j.check(s)
	}
	j.mutex.Lock()
	all := slices.Clone(j.all)
	j.mutex.Unlock()
	for _, text := range j.world.ledger.LoadErrors() {
		j.report("weights", "%s", text)
	}
	runs := j.world.ledger.RunsFrom(0)
	j.checkUnasked(all, runs)
	j.checkBudget(all, runs)
	j.checkLeft(all)
	j.checkHeld(all)
	j.checkStops(all)
	j.checkDenied(all)
	j.checkServed(all, calm)
}
