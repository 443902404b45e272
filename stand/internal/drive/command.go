// Package drive runs a demonstration through a roll-out under load and checks the result.
//
// It publishes a first version and waits until every host serves it, publishes a second one
// and, in the middle of that roll-out, a third. Meanwhile clients of two workspaces send
// requests. At the end it compares every response, every file on every engine and the
// number of runs of every booking with what is expected.
package drive

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"currantport.example/core/shell"
	"currantport.example/stand/internal/plan"
)

// Command drives a running demonstration and checks the result.
type Command struct {
	dir            string
	weights        string
	rolloutTimeout time.Duration
	onlyFirst      bool
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return "drive" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return "drive a running demonstration and check the result" }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return "stand drive -dir DIR [-weights PATH] [-within DURATION] [-first]\n  example: stand drive -dir run -weights ./model\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "run", "folder of the plan")
	f.StringVar(&c.weights, "weights", "", "file or folder to distribute; empty generates 64 MiB")
	f.BoolVar(&c.onlyFirst, "first", false, "stop when the first version is ready")
	f.DurationVar(&c.rolloutTimeout, "within", 5*time.Minute, "timeout of each roll-out")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p, err := plan.Read(c.dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return shell.ExitFailure
	}
	d, stop := newDriver(p, c.dir, c.rolloutTimeout)
	defer stop()
	run := d.run
	if c.onlyFirst {
		run = d.runFirst
	}
	if err := run(ctx, c.weights); err != nil {
		fmt.Fprintf(os.Stderr, "check=failed cause=%q\n", err.Error())
		return shell.ExitFailure
	}
	return shell.ExitOK
}
