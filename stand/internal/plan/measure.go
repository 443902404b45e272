package plan

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"currantport.example/core/shell"
)

// MeasureCommand is a command that measures the running processes of a plan.
type MeasureCommand struct {
	name     string
	synopsis string
	run      func(ctx context.Context, p Plan) error
	dir      string
}

// NewMeasureCommand returns a command that reads the plan of a folder and passes it
// to run.
func NewMeasureCommand(name, synopsis string, run func(ctx context.Context, p Plan) error) *MeasureCommand {
	return &MeasureCommand{name: name, synopsis: synopsis, run: run}
}

// Name implements subcommands.Command.
func (m *MeasureCommand) Name() string { return m.name }

// Synopsis implements subcommands.Command.
func (m *MeasureCommand) Synopsis() string { return m.synopsis }

// Usage implements subcommands.Command.
func (m *MeasureCommand) Usage() string {
	return fmt.Sprintf("stand %s -dir DIR\n  example: stand %s -dir run\n", m.name, m.name)
}

// SetFlags implements subcommands.Command.
func (m *MeasureCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&m.dir, "dir", "run", "folder of the plan")
}

// Execute implements subcommands.Command.
func (m *MeasureCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p, err := Read(m.dir)
	if err == nil {
		err = m.run(ctx, p)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "check=failed cause=%q\n", err.Error())
		return shell.ExitFailure
	}
	return shell.ExitOK
}
