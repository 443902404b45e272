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
	// restartWait is the time between the end of a process and its next start.
	restartWait = 300 * time.Millisecond
	// killWait bounds the end of a process after it was asked to stop.
	killWait = 9 * time.Second
	// awaitGap and awaitTries bound the wait for a new start.
	awaitGap   = 20 * time.Millisecond
	awaitTries = 100
)

// process is one process of the system under test, through all its starts.
type process struct {
	name     Subject
	program  string
	role     string
	template string
	dir      string
	settings fakes.ProcessSettings
	timeline *timeline
	// ended is called with the cause if the process ends on its own.
	ended func(p *process, cause string)

	mutex   sync.Mutex
	command *exec.Cmd
	// starts counts the starts, asked tells that the present one was told to end.
	starts int
	asked  bool
	closed bool
	done   chan struct{}
}

// start writes the settings and starts the process.
func (p *process) start() error {
	if err := p.rewrite(func(*fakes.ProcessSettings) {}); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, string(p.name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(p.program, p.role, "serve") //nolint:gosec // the program under test
	c.Env = append(os.Environ(), fakes.SettingsEnv+"="+p.file())
	c.Stdout, c.Stderr = log, log
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.asked, p.done = c, false, make(chan struct{})
	p.starts++
	go p.run(c, p.done)
	return nil
}

// run waits for the end of a start and starts the process anew.
func (p *process) run(c *exec.Cmd, done chan struct{}) {
	err := c.Wait()
	close(done)
	p.mutex.Lock()
	asked, closed := p.asked, p.closed
	p.mutex.Unlock()
	if closed {
		return
	}
	if !asked {
		p.ended(p, fmt.Sprint(err))
	}
	time.Sleep(restartWait)
	p.mutex.Lock()
	closed = p.closed
	p.mutex.Unlock()
	if closed {
		return
	}
	if err := p.start(); err != nil {
		p.ended(p, err.Error())
	}
}

// boot returns the number of the present start.
func (p *process) boot() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.starts
}

// signal sends a signal to the present start, by its id.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.asked = true
	}
	_ = p.command.Process.Signal(s)
}

// stop ends the process gracefully and waits for the end of that start.
func (p *process) stop() {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(killWait):
		p.signal(syscall.SIGKILL)
	}
}

// close ends the process for good.
func (p *process) close() {
	p.mutex.Lock()
	p.closed = true
	done := p.done
	p.mutex.Unlock()
	p.signal(syscall.SIGKILL)
	<-done
}

// rewrite changes the settings of the process and writes their file.
func (p *process) rewrite(change func(*fakes.ProcessSettings)) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(&p.settings)
	text, err := p.settings.Render(p.template)
	if err != nil {
		return err
	}
	return os.WriteFile(p.file(), []byte(text), 0o600)
}

func (p *process) file() string { return filepath.Join(p.dir, string(p.name)+".ini") }

// await returns once the process has been started again, or after a while.
func (p *process) await() {
	for range awaitTries {
		if !p.ending() {
			return
		}
		time.Sleep(awaitGap)
	}
}

// ending reports whether the present start was told to end.
func (p *process) ending() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.asked
}
