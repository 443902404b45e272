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

// component is a component whose shutdown can be blocked.
type component struct {
	started chan struct{}
	release chan struct{}
	stopped atomic.Bool
	// triggersShutdown makes the component trigger the shutdown while it is built.
	triggersShutdown bool
}

func (c *component) program() shell.Program[time.Duration] {
	return shell.Program[time.Duration]{
		Name:            "sample",
		SettingsPath:    "sample.ini",
		Read:            func(string) (time.Duration, error) { return time.Minute, nil },
		ShutdownTimeout: func(timeout time.Duration) time.Duration { return timeout },
		Build: func(time.Duration) fx.Option {
			return fx.Invoke(func(lc fx.Lifecycle, trigger *shell.ShutdownTrigger) {
				if c.triggersShutdown {
					trigger.Trigger()
				}
				g := shell.NewGroup()
				g.Go(c.run)
				lc.Append(fx.StartStopHook(func() { close(c.started) }, c.stop))
				shell.WithCleanup(lc, g, g.Stop)
			})
		},
	}
}

func (c *component) run(ctx context.Context) { <-ctx.Done() }

func (c *component) stop() {
	<-c.release
	c.stopped.Store(true)
}

// runner runs a program and sends its exit code.
type runner struct {
	program shell.Program[time.Duration]
	code    chan int
}

func (r *runner) run() { r.code <- shell.Run(r.program, []string{"serve"}) }

func start(c *component) chan int {
	r := &runner{program: c.program(), code: make(chan int, 1)}
	go r.run()
	<-c.started
	return r.code
}

func signalSelf(t *testing.T) {
	t.Helper()
	sendSelf(t, syscall.SIGTERM)
}

func sendSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Fatal(err)
	}
}

// TestHangupEndsNoProgram sends SIGHUP while nothing watches the settings, as at the start and in a
// shutdown.
func TestHangupEndsNoProgram(t *testing.T) {
	p := &component{started: make(chan struct{}), release: make(chan struct{})}
	code := start(p)
	for range 3 {
		sendSelf(t, syscall.SIGHUP)
	}
	signalSelf(t)
	sendSelf(t, syscall.SIGHUP)
	close(p.release)
	if got := <-code; got != int(shell.ExitOK) || !p.stopped.Load() {
		t.Errorf("exit code %d, stopped %t", got, p.stopped.Load())
	}
}

func TestFirstSignalStopsGracefully(t *testing.T) {
	for range 500 {
		p := &component{started: make(chan struct{}), release: make(chan struct{})}
		code := start(p)
		signalSelf(t)
		close(p.release)
		if got := <-code; got != int(shell.ExitOK) || !p.stopped.Load() {
			t.Fatalf("exit code %d, stopped %t", got, p.stopped.Load())
		}
	}
}

func TestTriggerStopsGracefully(t *testing.T) {
	p := &component{started: make(chan struct{}), release: make(chan struct{}), triggersShutdown: true}
	code := start(p)
	close(p.release)
	if got := <-code; got != int(shell.ExitOK) || !p.stopped.Load() {
		t.Errorf("exit code %d, stopped %t", got, p.stopped.Load())
	}
}

func TestSecondSignalStopsAtOnce(t *testing.T) {
	p := &component{started: make(chan struct{}), release: make(chan struct{})}
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
			// Two signals sent in quick succession may be delivered as one.
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
			t.Error("components were built from invalid settings")
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

// triggerTask triggers the shutdown as soon as the program has started.
type triggerTask struct{ trigger *shell.ShutdownTrigger }

func (t *triggerTask) run(context.Context) { t.trigger.Trigger() }

// TestRunningComponentTriggersShutdown triggers the shutdown from a task of a running
// component.
func TestRunningComponentTriggersShutdown(t *testing.T) {
	p := (&component{}).program()
	var stopped atomic.Bool
	p.Build = func(time.Duration) fx.Option {
		return fx.Invoke(func(lc fx.Lifecycle, trigger *shell.ShutdownTrigger) {
			g := shell.NewGroup()
			lc.Append(fx.StartStopHook(func() { g.Go((&triggerTask{trigger: trigger}).run) }, func() {
				g.Stop()
				stopped.Store(true)
			}))
		})
	}
	if code := shell.Run(p, []string{"serve"}); code != int(shell.ExitOK) || !stopped.Load() {
		t.Errorf("exit code %d, stopped %v", code, stopped.Load())
	}
}
