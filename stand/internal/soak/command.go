package soak

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"currantport.example/core/shell"
)

const (
	// firstNetwork and lastNetwork bound the second byte of the loopback addresses of a
	// run. Concurrent runs use different ones.
	firstNetwork = 20
	lastNetwork  = 250
)

// Command executes runs with consecutive seeds.
type Command struct {
	options Options
	seed    uint64
	seeds   int
	jobs    int
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string {
	return "run the real programs under random faults and check what clients and upstreams observe"
}

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return "stand soak [-seed N] [-seeds N] [-jobs N] [-length DURATION] [-only KIND] [-busy N]\n  example: stand soak -seed 7 -seeds 4 -jobs 2\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.options.Program, "program", "bin/platform", "program under test")
	f.StringVar(&c.options.Templates, "templates", "platform", "folder of the settings templates of the program")
	f.StringVar(&c.options.Dir, "dir", "run/soak", "folder for settings and logs")
	f.Uint64Var(&c.seed, "seed", 0, "seed of the first run; 0 chooses one from the clock")
	f.IntVar(&c.seeds, "seeds", 1, "number of runs")
	f.IntVar(&c.jobs, "jobs", 1, "number of concurrent runs")
	f.DurationVar(&c.options.Duration, "length", 25*time.Second, "time during which faults are injected")
	f.DurationVar(&c.options.FaultInterval, "gap", 1200*time.Millisecond, "mean time between the starts of two faults")
	f.DurationVar(&c.options.MaxFaultTime, "span", 9*time.Second, "longest duration of a fault; long ones are rare")
	f.IntVar(&c.options.Size.Entries, "entries", 4, "number of entries")
	f.IntVar(&c.options.Size.Engines, "engines", 6, "number of engines, each with an agent")
	f.IntVar(&c.options.Size.Services, "services", 3, "number of services of each plain pool")
	f.IntVar(&c.options.Size.Clients, "callers", 24, "number of clients")
	f.IntVar(&c.options.Size.Pieces, "pieces", 16, "number of pieces of a version of the model, 512 KiB together")
	f.IntVar(&c.options.BusyLoops, "busy", 0, "number of processes that take processor time during each run")
	f.StringVar(&c.options.FaultKinds, "only", "", "kinds of faults to inject, separated by commas; empty means all; power comes last")
}

// Execute implements subcommands.Command. It returns a failure if a run could not be
// executed or a check failed.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.Size.Pieces < 1 {
		fmt.Fprintln(os.Stderr, "soak=failed cause=\"a version has at least one piece\"")
		return subcommands.ExitUsageError
	}
	if c.seed == 0 {
		c.seed = uint64(time.Now().UnixNano() % 1e9)
	}
	status := shell.ExitOK
	var mutex sync.Mutex
	var group sync.WaitGroup
	for job := range max(c.jobs, 1) {
		group.Go(func() {
			for i := job; i < c.seeds; i += max(c.jobs, 1) {
				ok := c.runSeed(ctx, c.seed+uint64(i))
				mutex.Lock()
				if !ok {
					status = shell.ExitFailure
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return status
}

// runSeed executes the run of one seed, prints its result and reports whether all checks
// passed.
func (c *Command) runSeed(ctx context.Context, seed uint64) bool {
	o := c.options
	o.Seed, o.Dir = seed, filepath.Join(o.Dir, fmt.Sprint(seed))
	if err := os.RemoveAll(o.Dir); err != nil {
		fmt.Fprintf(os.Stderr, "soak=failed seed=%d cause=%q\n", seed, err.Error())
		return false
	}
	r, err := runOnFreeNetwork(ctx, o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak=failed seed=%d cause=%q\n", seed, err.Error())
		return false
	}
	r.Print()
	return len(r.Violations) == 0
}

// runOnFreeNetwork executes a run on loopback addresses that no other run uses.
func runOnFreeNetwork(ctx context.Context, o Options) (Result, error) {
	first := rand.IntN(lastNetwork - firstNetwork)
	for i := range lastNetwork - firstNetwork {
		o.Network = byte(firstNetwork + (first+i)%(lastNetwork-firstNetwork))
		r, err := Run(ctx, o)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return r, err
		}
	}
	return Result{}, syscall.EADDRINUSE
}
