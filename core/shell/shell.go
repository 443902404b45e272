// Package shell turns the components of a program into a command line program:
// subcommands, exit codes, start, graceful shutdown.
//
// # Commands
//
// Run registers the commands of every program, serve, check and version, and any extra
// ones, and returns the exit code.
//
// # Shutdown
//
// The first SIGTERM or SIGINT stops the components in the reverse order of their start
// by their clean-up functions. A component can start the same shutdown with the
// ShutdownTrigger, which is injected on request. A second signal terminates the process
// at once.
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
	// ExitInvalid means that settings or tables are invalid.
	ExitInvalid subcommands.ExitStatus = 3
	// ExitForced means that a second signal cut the shutdown short.
	ExitForced subcommands.ExitStatus = 4
)

// Program is a program of the system with settings of type S.
type Program[S any] struct {
	Name string
	// SettingsPath is the default path of the settings file.
	SettingsPath string
	// Read returns the settings of a file, or an error that lists everything wrong with
	// it.
	Read func(file string) (S, error)
	// Build returns the components of the program. It is nil for a program without the
	// serve and check commands.
	Build func(settings S) fx.Option
	// ShutdownTimeout bounds the graceful shutdown.
	ShutdownTimeout func(settings S) time.Duration
	// ExtraCommands are additional commands of the program.
	ExtraCommands []subcommands.Command
}

// Run runs the command line and returns the exit code.
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

// WithCleanup registers the clean-up function of a component and returns the component.
func WithCleanup[T any](lc fx.Lifecycle, component T, stop func()) T {
	lc.Append(fx.StopHook(stop))
	return component
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
func (c *checkCommand[S]) Synopsis() string { return "check the settings and print every error" }
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

// ShutdownTrigger starts a graceful shutdown of the process. The zero value ignores
// triggers.
type ShutdownTrigger struct {
	// requested holds at most one trigger.
	requested chan struct{}
}

// Trigger starts the shutdown and returns at once. It may be called more than once.
func (t *ShutdownTrigger) Trigger() {
	select {
	case t.requested <- struct{}{}:
	default:
	}
}

func serve(ctx context.Context, components fx.Option, shutdownTimeout time.Duration) subcommands.ExitStatus {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// Without a receiver, a hangup before the settings file is watched, or after that, ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	trigger := &ShutdownTrigger{requested: make(chan struct{}, 1)}
	app := fx.New(components, fx.Supply(trigger), fx.StopTimeout(shutdownTimeout), fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
	select {
	case <-signals:
	case <-trigger.requested:
	}
	s := &stopper{app: app, done: make(chan error, 1), timeout: shutdownTimeout}
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
	app     *fx.App
	done    chan error
	timeout time.Duration
}

func (s *stopper) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.done <- s.app.Stop(ctx)
}
