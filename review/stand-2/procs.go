package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what happened to record.txt, with the time since the start.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet holds what a case runs: the program of the deploy file, a temporary folder and the processes.
type fleet struct {
	program string
	dir     string
	record  *record
	procs   []*proc
	closers []func()
}

// proc is a process of the project's program on a machine with a loopback address of its own.
type proc struct {
	fleet    *fleet
	name     string
	role     string
	settings string
	mutex    sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// start starts the process with the command of the deploy file.
func (p *proc) start() error {
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(p.fleet.program, p.role, "serve", "-settings", p.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mutex.Lock()
	p.cmd, p.done = c, done
	p.mutex.Unlock()
	p.fleet.record.line("process %s starts, pid %d", p.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		p.fleet.record.line("process %s has ended: %v", p.name, err)
		close(done)
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.cmd != nil {
		p.fleet.record.line("signal %v to %s", s, p.name)
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *proc) wait() {
	p.mutex.Lock()
	done := p.done
	p.mutex.Unlock()
	if done != nil {
		<-done
	}
}

func (p *proc) pid() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cmd.Process.Pid
}

// residentMB returns the resident memory of the process.
func (p *proc) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid()))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(data), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(l, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// close ends everything that the case has started.
func (f *fleet) close() {
	for _, p := range f.procs {
		p.mutex.Lock()
		c, done := p.cmd, p.done
		p.mutex.Unlock()
		if c != nil {
			_ = c.Process.Signal(syscall.SIGCONT)
			_ = c.Process.Kill()
			<-done
		}
	}
	for _, c := range f.closers {
		c()
	}
	_ = f.record.file.Close()
}

// listen listens on a free port of the address.
func listen(ip string) (net.Listener, error) { return net.Listen("tcp", ip+":0") }

// serve serves the handler on a free port of the address, which it returns.
func (f *fleet) serve(ip string, h http.Handler) (string, error) {
	l, err := listen(ip)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// freePorts returns free ports of the address, for TCP and UDP.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	var open []interface{ Close() error }
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for len(ports) < n {
		l, err := listen(ip)
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
		if err != nil {
			continue
		}
		open = append(open, u)
		ports = append(ports, port)
	}
	return ports, nil
}

// bounds are the values that the settings of a process take from the platform.
type bounds struct {
	graceS, revokeMs, applyMs, versionMs int
	retryRatio                           float64
	retrySlack, retryWindowS             int
	memoryMB                             int
}

// place is where a machine stands.
type place struct{ zone, region string }

// entry is a machine of class edge.
type entry struct {
	*proc
	ip, front, control, directory, ready string
}

func (f *fleet) settingsFile(name, text string) (string, error) {
	file := filepath.Join(f.dir, name+".ini")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

func zonesText(all []place) string {
	var b bytes.Buffer
	seen := make(map[string]bool)
	for _, p := range all {
		if seen[p.zone] {
			continue
		}
		if seen[p.zone] = true; b.Len() > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s:%s", p.zone, p.region)
	}
	return b.String()
}

// addEntries adds entries at the places with settings filled in as platform/entry.ini asks. The first three are the
// seeds. They are named like those of the sites and aren't started.
func (f *fleet) addEntries(storeAt string, b bounds, at []place) ([]*entry, error) {
	var all []*entry
	var seeds []string
	agentPort := 0
	inZone := make(map[string]int)
	for i := range at {
		ip := fmt.Sprintf("127.77.%d.%d", os.Getpid()%200+1, i+10)
		ports, err := freePorts(ip, 5)
		if err != nil {
			return nil, err
		}
		inZone[at[i].zone]++
		e := &entry{proc: &proc{fleet: f, name: fmt.Sprintf("edge-%s-%d", at[i].zone, inZone[at[i].zone]), role: "entry"}, ip: ip}
		e.front, e.control = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
		e.directory, e.ready = fmt.Sprintf("%s:%d", ip, ports[2]), fmt.Sprintf("%s:%d", ip, ports[3])
		if agentPort == 0 {
			agentPort = ports[4]
		}
		if len(seeds) < 3 {
			seeds = append(seeds, e.control)
		}
		all = append(all, e)
	}
	for i, e := range all {
		admin, err := freePorts(e.ip, 1)
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf(`[host]
name = %s
region = %s
domain = %s
domains = %s
memory = %dMiB

[listen]
calls = %s
mesh = %s
admin = %s:%d

[mesh]
seeds = %s
agent = %d

[platform]
store = %s
directory = %s
readiness = %s

[addresses]
lifetime = 1s

[stop]
within = %ds

[bounds]
revoke = %dms
apply = %dms
version = %dms
ratio = %g
slack = %d
window = %ds
`, e.name, at[i].region, at[i].zone, zonesText(at), b.memoryMB, e.front, e.control, e.ip, admin[0], strings.Join(seeds, ","), agentPort,
			storeAt, e.directory, e.ready, b.graceS, b.revokeMs, b.applyMs, b.versionMs, b.retryRatio, b.retrySlack, b.retryWindowS)
		if e.settings, err = f.settingsFile(e.name, text); err != nil {
			return nil, err
		}
		f.procs = append(f.procs, e.proc)
	}
	return all, nil
}

// awaitReady waits until the entries answer the platform's probe with 200.
func awaitReady(all []*entry, within time.Duration) error {
	end := time.Now().Add(within)
	c := &http.Client{Timeout: time.Second}
	for _, e := range all {
		for !isReady(c, e) {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(c *http.Client, e *entry) bool {
	r, err := c.Get("http://" + e.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}
