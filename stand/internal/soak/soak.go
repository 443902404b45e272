// Package soak runs the real programs as separate processes on loopback addresses, harms
// them from outside, and checks while it runs what callers and upstreams see.
//
// # A run
//
// A seed gives the order of the faults: processes that are stopped, paused, killed and
// started again, connections that are delayed, reset, cut one way or silenced by a proxy,
// a store, an origin and upstreams that misbehave, and operators that publish meanwhile.
// Faults overlap. The last part of a run is calm, so that recovery is seen.
//
// # What is checked
//
// The judge compares each answer with the ledger of the upstreams. Promises with a time
// bound are checked for processes that were undisturbed for a while; all others always.
// docs/SOAK.md lists the checks and how each was shown to fail.
//
// # Limits
//
// The order of the faults is that of the seed; what happens between them is up to the
// machine. Datagrams aren't harmed, only the processes that send them.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/shell"
)

const (
	// startTime is the time from the start of the processes to the first fault.
	startTime = 6 * time.Second
	// recoverTime is the time after the last fault within which requests are served again.
	recoverTime = 12 * time.Second
	// calmTime is the time after that in which the share that is served is taken.
	calmTime = 4 * time.Second
)

// Options say what a run is like.
type Options struct {
	// Program is the program under test, Templates the folder of its settings.
	Program   string
	Templates string
	// Dir is where the run keeps settings and logs.
	Dir  string
	Seed uint64
	// Length is the time in which faults strike.
	Length time.Duration
	// Gap is the mean time between the starts of two faults, Span the longest fault.
	Gap  time.Duration
	Span time.Duration
	// Network is the second byte of the loopback addresses of the run.
	Network byte
	Size    Size
	// Only names the kinds of faults that may come, joined by commas. Empty stands for all.
	Only string
}

// Size is the number of processes and stand-ins.
type Size struct {
	Entries int
	Engines int
	// Services is the number of upstreams of each plain pool.
	Services int
	Callers  int
}

// Result is how a run ended.
type Result struct {
	Seed     uint64
	Requests int
	Good     int
	// Repeats is the number of arrivals at upstreams beyond the first of each request.
	Repeats int
	Faults  []string
	// Broken are the promises that were broken, each with what was seen first.
	Broken []Broken
}

// Broken is a check that failed.
type Broken struct {
	Check string
	Count int
	First string
}

// Run plays one run. The error tells that it couldn't be played.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Result{}, err
	}
	w, stop, err := newWorld(o)
	if err != nil {
		return Result{}, err
	}
	defer stop()
	d, err := newDirector(w, rand.New(rand.NewPCG(o.Seed, o.Seed)))
	if err != nil {
		return Result{}, err
	}
	load := newLoad(w)
	stopLoad := load.start()
	defer stopLoad()
	judging := shell.NewGroup()
	judging.Go(w.judge.run)
	defer judging.Stop()
	clocks.Sleep(ctx, startTime)
	var group sync.WaitGroup
	d.play(ctx, &group)
	group.Wait()
	w.timeline.add(Moment{Name: "end of the faults"})
	clocks.Sleep(ctx, recoverTime)
	calm := time.Now()
	clocks.Sleep(ctx, calmTime)
	stopLoad()
	judging.Stop()
	w.judge.finish(calm)
	r := Result{Seed: o.Seed, Faults: w.timeline.moments(), Broken: w.judge.broken()}
	r.Requests, r.Good = w.judge.totals()
	r.Repeats = w.judge.repeats
	return r, w.timeline.write(filepath.Join(o.Dir, "timeline"))
}

// Print writes the result as lines of key=value pairs.
func (r *Result) Print() {
	for _, b := range r.Broken {
		fmt.Printf("soak=broken seed=%d check=%s count=%d first=%q\n", r.Seed, b.Check, b.Count, b.First)
	}
	fmt.Printf("soak=run seed=%d requests=%d good=%d repeats=%d faults=%d broken=%d\n", r.Seed, r.Requests, r.Good, r.Repeats, len(r.Faults), len(r.Broken))
}
