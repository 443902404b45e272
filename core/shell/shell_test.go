package shell_test

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/goleak"

	"currantport.example/core/shell"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// part is a program's part whose stop can be held up.
type part struct {
	started chan struct{}
	release chan struct{}
	stopped atomic.Bool
	// ends tells that the part ends the program itself.
	ends bool
}

func (p *part) program() shell.Program[time.Duration] {
	return shell.Program[time.Duration]{
		Name:            "sample",
		SettingsPath:    "sample.ini",
		Read:            func(string) (time.Duration, error) { return time.Minute, nil },
		ShutdownTimeout: func(within time.Duration) time.Duration { return within },
		Build: func(time.Duration) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, e *shell.ShutdownTrigger) {
				if p.ends {
					e.Trigger()
				}
				g := shell.NewGroup()
				g.Go(p.run)
				lc.Append(fx.StartStopHook(func() { close(p.started) }, p.stop))
				shell.WithCleanup(lc, g, g.Stop)
			})
		},
	}
}

func (p *part) run(ctx context.Context) { <-ctx.Done() }

func (p *part) stop() {
	<-p.release
	p.stopped.Store(true)
}

// runner runs a program and hands on its exit code.
type runner struct {
	program shell.Program[time.Duration]
	code    chan int
}

func (r *runner) run() { r.code <- shell.Run(r.program, []string{"serve"}) }

func start(p *part) chan int {
	r := &runner{program: p.program(), code: make(chan int, 1)}
	go r.run()
	<-p.started
	return r.code
}

func signalSelf(t *testing.T) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

func TestFirstSignalStopsGracefully(t *testing.T) {
	for range 500 {
		p := &part{started: make(chan struct{}), release: make(chan struct{})}
		code := start(p)
		signalSelf(t)
		close(p.release)
		if got := <-code; got != int(shell.ExitOK) || !p.stopped.Load() {
			t.Fatalf("exit code %d, stopped %t", got, p.stopped.Load())
		}
	}
}

func TestEndStopsGracefully(t *testing.T) {
	p := &part{started: make(chan struct{}), release: make(chan struct{}), ends: true}
	code := start(p)
	close(p.release)
	if got := <-code; got != int(shell.ExitOK) || !p.stopped.Load() {
		t.Errorf("exit code %d, stopped %t", got, p.stopped.Load())
	}
}

func TestSecondSignalStopsAtOnce(t *testing.T) {
	p := &part{started: make(chan struct{}), release: make(chan struct{})}
	code := start(p)
	signalSelf(t)
	signalSelf(t)
	for {
		select {
		case got := <-code:
			if got != int(shell.ExitForced) || p.stopped.Load() {
				t.Errorf("exit code %d, stopped %t", got, p.stopped.Load())
			}
			close(p.release)
			return
		case <-time.After(10 * time.Millisecond):
			// Two signals that come at once may reach the process as one.
			signalSelf(t)
		}
	}
}

func TestExitCodes(t *testing.T) {
	bad := errors.New("section=host key=name")
	p := shell.Program[time.Duration]{
		Name: "sample",
		Read: func(string) (time.Duration, error) { return 0, bad },
		Build: func(time.Duration) fx.Option {
			t.Error("parts were built from settings with faults")
			return fx.Options()
		},
	}
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"version"}, int(shell.ExitOK)},
		{[]string{"check", "-settings", "x.ini"}, int(shell.ExitInvalid)},
		{[]string{"serve", "-settings", "x.ini"}, int(shell.ExitInvalid)},
		{[]string{"dance"}, int(shell.ExitUsage)},
		{[]string{"-dance"}, int(shell.ExitUsage)},
	} {
		if got := shell.Run(p, c.args); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.args, got, c.want)
		}
	}
}

// ender asks for the end of the program as soon as it has started.
type ender struct{ end *shell.ShutdownTrigger }

func (e *ender) run(context.Context) { e.end.Trigger() }

// TestPartEndsProgram holds for a part that calls End of the Ender.
func TestPartEndsProgram(t *testing.T) {
	p := (&part{}).program()
	var stopped atomic.Bool
	p.Build = func(time.Duration) fx.Option {
		return fx.Invoke(func(lc fx.Lifecycle, end *shell.ShutdownTrigger) {
			g := shell.NewGroup()
			lc.Append(fx.StartStopHook(func() { g.Go((&ender{end: end}).run) }, func() {
				g.Stop()
				stopped.Store(true)
			}))
		})
	}
	if code := shell.Run(p, []string{"serve"}); code != int(shell.ExitOK) || !stopped.Load() {
		t.Errorf("exit code %d, stopped %v", code, stopped.Load())
	}
}
