package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"currantport.example/platform/fakes"
)

const (
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// killTimeout is the time after which a process that doesn't stop gracefully is killed.
	killTimeout = 9 * time.Second
	// awaitInterval and maxAwaitAttempts bound the wait for a restart.
	awaitInterval    = 20 * time.Millisecond
	maxAwaitAttempts = 100
)

// process is one process under test, over all its starts. It restarts whenever it has
// ended.
type process struct {
	name     Subject
	program  string
	role     string
	template string
	dir      string
	settings fakes.ProcessSettings
	timeline *timeline
	// onUnexpectedExit is called with the cause if the process ends without a request to
	// stop.
	onUnexpectedExit func(p *process, cause string)

	mutex   sync.Mutex
	command *exec.Cmd
	// starts counts the starts. stopRequested is set if the current one was signaled to
	// end.
	starts        int
	stopRequested bool
	closed        bool
	done          chan struct{}
}

// start writes the settings and starts the process.
func (p *process) start() error {
	if err := p.updateSettings(func(*fakes.ProcessSettings) {}); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, string(p.name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(p.program, p.role, "serve") //nolint:gosec // the program under test
	c.Env = append(os.Environ(), fakes.SettingsEnv+"="+p.settingsFile())
	c.Stdout, c.Stderr = log, log
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.stopRequested, p.done = c, false, make(chan struct{})
	p.starts++
	go p.run(c, p.done)
	return nil
}

// run waits for the end of a start and restarts the process.
func (p *process) run(c *exec.Cmd, done chan struct{}) {
	err := c.Wait()
	close(done)
	p.mutex.Lock()
	requested, closed := p.stopRequested, p.closed
	p.mutex.Unlock()
	if closed {
		return
	}
	if !requested {
		p.onUnexpectedExit(p, fmt.Sprint(err))
	}
	time.Sleep(restartDelay)
	p.mutex.Lock()
	closed = p.closed
	p.mutex.Unlock()
	if closed {
		return
	}
	if err := p.start(); err != nil {
		p.onUnexpectedExit(p, err.Error())
	}
}

// startNumber returns the number of the current start, from 1, or 0 before the first.
func (p *process) startNumber() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.starts
}

// signal sends a signal to the current start by its process id.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopRequested = true
	}
	_ = p.command.Process.Signal(s)
}

// residentBytes returns the memory of the current start, or zero if that isn't known.
func (p *process) residentBytes() int64 {
	p.mutex.Lock()
	id := p.command.Process.Pid
	p.mutex.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// stop shuts the process down gracefully and waits for the end of the current start.
func (p *process) stop() {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(killTimeout):
		p.signal(syscall.SIGKILL)
	}
}

// close kills the process and prevents a restart.
func (p *process) close() {
	p.mutex.Lock()
	p.closed = true
	done := p.done
	p.mutex.Unlock()
	p.signal(syscall.SIGKILL)
	<-done
}

// updateSettings changes the settings of the process and writes their file.
func (p *process) updateSettings(change func(*fakes.ProcessSettings)) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(&p.settings)
	text, err := p.settings.Render(p.template)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settingsFile(), []byte(text), 0o600)
}

func (p *process) settingsFile() string { return filepath.Join(p.dir, string(p.name)+".ini") }

// awaitRestart returns when the process has restarted, or after a timeout.
func (p *process) awaitRestart() {
	for range maxAwaitAttempts {
		if !p.isEnding() {
			return
		}
		time.Sleep(awaitInterval)
	}
}

// isEnding reports whether the current start was signaled to end.
func (p *process) isEnding() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stopRequested
}
