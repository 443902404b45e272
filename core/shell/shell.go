// Package shell turns a program's parts into a command: subcommands, exit
// codes, start, graceful shutdown.
//
// # Commands
//
// Run registers the commands that every program has, serve, check and version,
// and any others, and returns the exit code.
//
// # Shutdown
//
// The first SIGTERM or SIGINT stops the parts in the reverse order of their
// start, each by its clean-up function, and so does a part that calls End of the
// Ender, which every part may take. A second signal ends the process at once.
package shell

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// The exit codes of every program.
const (
	ExitOK      = subcommands.ExitSuccess
	ExitFailure = subcommands.ExitFailure
	ExitUsage   = subcommands.ExitUsageError
	// ExitInvalid tells that settings or tables have faults.
	ExitInvalid subcommands.ExitStatus = 3
	// ExitForced tells that a second signal cut the shutdown short.
	ExitForced subcommands.ExitStatus = 4
)

// Program is a program of the system with settings S.
type Program[S any] struct {
	Name string
	// SettingsPath is the path of the settings file if the flag isn't given.
	SettingsPath string
	// Read returns the settings of a file, or every fault as an error.
	Read func(file string) (S, error)
	// Build returns the parts of the program. It is absent from a program that
	// doesn't serve.
	Build func(settings S) fx.Option
	// ShutdownTimeout bounds the graceful shutdown.
	ShutdownTimeout func(settings S) time.Duration
	// ExtraCommands are further commands.
	ExtraCommands []subcommands.Command
}

// Run carries out the command line and returns the exit code.
func Run[S any](p Program[S], args []string) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	c := subcommands.NewCommander(flags, p.Name)
	c.Register(c.HelpCommand(), "")
	c.Register(c.CommandsCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&versionCommand{program: p.Name}, "")
	if p.Build != nil {
		c.Register(&serveCommand[S]{program: p}, "")
		c.Register(&checkCommand[S]{program: p}, "")
	}
	for _, o := range p.ExtraCommands {
		c.Register(o, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(ExitUsage)
	}
	return int(c.Execute(context.Background()))
}

// WithCleanup registers the clean-up function of a part and returns the part.
func WithCleanup[T any](lc fx.Lifecycle, part T, stop func()) T {
	lc.Append(fx.StopHook(stop))
	return part
}

type versionCommand struct{ program string }

func (c *versionCommand) Name() string             { return "version" }
func (c *versionCommand) Synopsis() string         { return "print the version of the program" }
func (c *versionCommand) SetFlags(_ *flag.FlagSet) {}
func (c *versionCommand) Usage() string            { return fmt.Sprintf("%s version\n", c.program) }

func (c *versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Printf("program=%s version=%s\n", c.program, buildVersion())
	return ExitOK
}

func buildVersion() string {
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		return i.Main.Version
	}
	return "unknown"
}

type checkCommand[S any] struct {
	program  Program[S]
	settings string
}

func (c *checkCommand[S]) Name() string     { return "check" }
func (c *checkCommand[S]) Synopsis() string { return "check the settings and print every fault" }
func (c *checkCommand[S]) Usage() string {
	return fmt.Sprintf("%s check -settings FILE\n  example: %s check -settings %s\n", c.program.Name, c.program.Name, c.program.SettingsPath)
}

func (c *checkCommand[S]) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", c.program.SettingsPath, "settings file")
}

func (c *checkCommand[S]) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := c.program.Read(c.settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	fmt.Printf("program=%s settings=%s valid=true\n", c.program.Name, c.settings)
	return ExitOK
}

type serveCommand[S any] struct {
	program  Program[S]
	settings string
}

func (c *serveCommand[S]) Name() string     { return "serve" }
func (c *serveCommand[S]) Synopsis() string { return "run until SIGTERM" }
func (c *serveCommand[S]) Usage() string {
	return fmt.Sprintf("%s serve -settings FILE\n  example: %s serve -settings %s\n", c.program.Name, c.program.Name, c.program.SettingsPath)
}

func (c *serveCommand[S]) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", c.program.SettingsPath, "settings file")
}

func (c *serveCommand[S]) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := c.program.Read(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	return serve(ctx, c.program.Build(s), c.program.ShutdownTimeout(s))
}

// ShutdownTrigger ends the process gracefully.
type ShutdownTrigger struct {
	// ended holds at most one request to end.
	ended chan struct{}
}

// Trigger asks for the end of the process and returns at once. It may be called
// more than once.
func (e *ShutdownTrigger) Trigger() {
	select {
	case e.ended <- struct{}{}:
	default:
	}
}

func serve(ctx context.Context, parts fx.Option, stopWithin time.Duration) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	e := &ShutdownTrigger{ended: make(chan struct{}, 1)}
	app := fx.New(parts, fx.Supply(e), fx.StopTimeout(stopWithin), fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
	select {
	case <-signals:
	case <-e.ended:
	}
	s := &stopper{app: app, done: make(chan error, 1), within: stopWithin}
	go s.run(ctx)
	select {
	case err := <-s.done:
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return ExitFailure
		}
		return ExitOK
	case <-signals:
		return ExitForced
	}
}

type stopper struct {
	app    *fx.App
	done   chan error
	within time.Duration
}

func (s *stopper) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.within)
	defer cancel()
	s.done <- s.app.Stop(ctx)
}
