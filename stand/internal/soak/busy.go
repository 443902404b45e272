package soak

import (
	"context"
	"flag"
	"os"
	"os/exec"
	"time"

	"github.com/google/subcommands"

	"currantport.example/core/shell"
)

// busyCommand is the name of the command that a run starts to take processor time.
const busyCommand = "busy"

// BusyCommand keeps one processor busy for a time.
type BusyCommand struct{ duration time.Duration }

// Name implements subcommands.Command.
func (c *BusyCommand) Name() string { return busyCommand }

// Synopsis implements subcommands.Command.
func (c *BusyCommand) Synopsis() string { return "keep one processor busy for a time" }

// Usage implements subcommands.Command.
func (c *BusyCommand) Usage() string {
	return "stand busy -for DURATION\n  example: stand busy -for 10s\n"
}

// SetFlags implements subcommands.Command.
func (c *BusyCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.duration, "for", time.Second, "time until the command ends")
}

// Execute implements subcommands.Command.
func (c *BusyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	for end := time.Now().Add(c.duration); time.Now().Before(end) && ctx.Err() == nil; {
		continue
	}
	return shell.ExitOK
}

// busyLoops are the processes that take processor time from those of a run.
type busyLoops []*exec.Cmd

// startBusyLoops starts processes that end after a time, or when the returned function is called.
func startBusyLoops(count int, d time.Duration) (func(), error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var all busyLoops
	for range count {
		c := exec.Command(program, busyCommand, "-for", d.String()) //nolint:gosec // the program itself
		if err := c.Start(); err != nil {
			all.stop()
			return nil, err
		}
		all = append(all, c)
	}
	return all.stop, nil
}

// stop ends the processes by their ids.
func (b busyLoops) stop() {
	for _, c := range b {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}
