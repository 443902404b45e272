// Package soak runs the real programs as separate processes on loopback addresses, injects
// faults from outside, and checks during the run what clients and upstreams observe.
//
// # A run
//
// The seed determines the order of the faults: processes that are stopped, paused, killed
// and restarted; connections that a proxy delays, resets, cuts in one direction or
// silences; a store, an origin and upstreams that misbehave; operators that publish
// meanwhile. Faults overlap. The last part of a run has no faults, so that recovery can be
// observed.
//
// # What is checked
//
// The checker compares each response with the ledger of the upstreams. Guarantees with a
// time bound are checked only for processes that have been undisturbed for some time, all
// others always. docs/SOAK.md lists the checks and how each was shown to fail.
//
// # Limits
//
// The seed determines only the order of the faults; the interleaving in between depends on
// the machine. Datagrams aren't disturbed, only the processes that send them.
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
	// startupTime is the time from the start of the processes to the first fault.
	startupTime = 6 * time.Second
	// recoveryTime is the time after the last fault within which requests must be served
	// again.
	recoveryTime = 12 * time.Second
	// servedWindow is the time after recoveryTime over which the ratio of served requests
	// is measured.
	servedWindow = 4 * time.Second
)

// Options configure a run.
type Options struct {
	// Program is the path of the program under test, Templates the folder of its settings
	// templates.
	Program   string
	Templates string
	// Dir is the folder for the settings and logs of the run.
	Dir  string
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// FaultInterval is the mean time between the starts of two faults, MaxFaultTime the
	// longest duration of a fault.
	FaultInterval time.Duration
	MaxFaultTime  time.Duration
	// Network is the second byte of the loopback addresses of the run.
	Network byte
	Size    Size
	// FaultKinds names the kinds of faults to inject, separated by commas. Empty means all.
	FaultKinds string
	// BusyLoops is the number of processes that take processor time during the run.
	BusyLoops int
}

// maxRunTime returns a time in which a run ends, unless its last faults take longer than MaxFaultTime.
func (o Options) maxRunTime() time.Duration {
	return startupTime + o.Duration + o.MaxFaultTime + recoveryTime + servedWindow + settleDelay
}

// Size is the number of processes and fakes.
type Size struct {
	Entries int
	Engines int
	// Services is the number of upstreams of each plain pool.
	Services int
	Clients  int
	// Pieces is the number of pieces of a version of the model.
	Pieces int
}

// Result summarizes a run.
type Result struct {
	Seed      uint64
	Requests  int
	Successes int
	// Retries is the number of arrivals at upstreams beyond the first of each request.
	Retries int
	// LongCanceled is the number of runs for clients that had disconnected which would have lasted for
	// long.
	LongCanceled int
	// Changed is the number of requests beside a change of the configuration or the settings, and Kept
	// that of those on a connection that had been in use before.
	Changed, Kept int
	// Events are the lines of the timeline.
	Events []string
	// Violations are the checks that failed, sorted by name.
	Violations []Violation
}

// Violation is a check that failed: how often, and the first occurrence.
type Violation struct {
	Check string
	Count int
	First string
}

// Run executes one run. It returns an error if the run could not be executed, not if a
// check failed.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Result{}, err
	}
	stopLoops, err := startBusyLoops(o.BusyLoops, o.maxRunTime())
	if err != nil {
		return Result{}, err
	}
	defer stopLoops()
	w, stop, err := newWorld(o)
	if err != nil {
		return Result{}, err
	}
	defer stop()
	i, err := newInjector(w, rand.New(rand.NewPCG(o.Seed, o.Seed)))
	if err != nil {
		return Result{}, err
	}
	load := newWorkload(w)
	stopLoad := load.start()
	defer stopLoad()
	checking := shell.NewGroup()
	checking.Go(w.checker.run)
	defer checking.Stop()
	clocks.Sleep(ctx, startupTime)
	var group sync.WaitGroup
	i.run(ctx, &group)
	group.Wait()
	if i.losesPower {
		i.losePower()
	}
	w.timeline.add(Event{Name: "end of the faults"})
	clocks.Sleep(ctx, recoveryTime)
	servedSince := time.Now()
	clocks.Sleep(ctx, servedWindow)
	stopLoad()
	checking.Stop()
	w.checker.finish(servedSince)
	r := Result{Seed: o.Seed, Events: w.timeline.lines(), Violations: w.checker.violations()}
	r.Requests, r.Successes = w.checker.totals()
	r.Retries, r.LongCanceled = w.checker.retries, w.checker.longCanceled
	r.Changed, r.Kept = w.checker.changed, w.checker.kept
	return r, w.timeline.write(filepath.Join(o.Dir, "timeline"))
}

// Print writes the result as lines of key=value pairs.
func (r *Result) Print() {
	for _, v := range r.Violations {
		fmt.Printf("soak=broken seed=%d check=%s count=%d first=%q\n", r.Seed, v.Check, v.Count, v.First)
	}
	fmt.Printf("soak=run seed=%d requests=%d good=%d repeats=%d left=%d changed=%d kept=%d faults=%d broken=%d\n", r.Seed, r.Requests, r.Successes, r.Retries, r.LongCanceled, r.Changed, r.Kept, len(r.Events), len(r.Violations))
}
