package main

import (
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

const (
	platformProgram = "target/platform"
	// region and domain are those of the runners and the origin.
	region = "may-pen"
	domain = "may-pen-a"
)

// world is the deployment of one case: the store, and the processes of the project, each machine on a
// loopback address of its own.
type world struct {
	record    *record
	dir       string
	store     *store
	storeAt   string
	listeners []net.Listener
	agentPort int
	entries   []*entry
	processes []*process
}

// entry is an edge machine.
type entry struct {
	name, ip                                string
	zone                                    zone
	frontend, readiness, control, directory string
	process                                 *process
}

// process is a process of the project.
type process struct {
	name string
	args []string
	file string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{}

	mutex sync.Mutex
	state *os.ProcessState
}

// address returns a loopback address. Runs at the same time have different ones, so that none takes a port
// that another one has found free.
func address(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, group, number)
}

func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, store: newStore()}
	if w.storeAt, err = w.serve(address(30, 1), w.store); err != nil {
		return nil, err
	}
	w.agentPort, err = freePort(address(20, 1), address(20, 2), address(20, 3), address(20, 4))
	return w, err
}

// serve serves HTTP at a free port of the address.
func (w *world) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	w.listeners = append(w.listeners, l)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// givenPorts are the ports that freePort has returned. The kernel may offer a port again before it is used.
var givenPorts = make(map[int]bool)

// freePort returns a port that is free for TCP and UDP at all of the addresses and wasn't returned before.
func freePort(ips ...string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if !givenPorts[port] && isFree(port, ips) {
			givenPorts[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free at %v", ips)
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		at := fmt.Sprintf("%s:%d", ip, port)
		l, err := net.Listen("tcp", at)
		if err != nil {
			return false
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp", at)
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return true
}

// zone is a zone of the deployment.
type zone struct{ name, region string }

// zones are those of the sheet of showgate.
var zones = []zone{{"may-pen-a", "may-pen"}, {"mandeville-a", "mandeville"}, {"montego-a", "montego"}}

// zoneList returns the zones with their regions as the settings have them.
func zoneList() string {
	var all []string
	for _, z := range zones {
		all = append(all, z.name+":"+z.region)
	}
	return strings.Join(all, ",")
}

// bounds are the bounds of the sheet of showgate.
const (
	revokeTime  = 5 * time.Second
	applyTime   = 2 * time.Second
	versionTime = 8 * time.Second
	graceTime   = 8 * time.Second
	lossSlack   = 200 * time.Millisecond
)

// addEntries starts edge machines, with the given number in each zone. Their settings are those that the
// platform makes of the template.
func (w *world) addEntries(counts ...int) error {
	var seeds []string
	for zoneNumber, count := range counts {
		for i := range count {
			ip := address(10+zoneNumber, i+1)
			z := zones[zoneNumber]
			e := &entry{name: fmt.Sprintf("edge-%s-%d", z.name, i+1), ip: ip, zone: z}
			for _, at := range []*string{&e.frontend, &e.readiness, &e.control, &e.directory} {
				port, err := freePort(ip)
				if err != nil {
					return err
				}
				*at = fmt.Sprintf("%s:%d", ip, port)
			}
			w.entries = append(w.entries, e)
			if i == 0 {
				seeds = append(seeds, e.control)
			}
		}
	}
	for _, e := range w.entries {
		admin, err := freePort(e.ip)
		if err != nil {
			return err
		}
		storeAt, err := w.serve(address(30, 1), storeAddress{w.store, e.name})
		if err != nil {
			return err
		}
		file, err := w.fill("platform/entry.ini", map[string]string{
			"Platform.Address": storeAt,
			"NodeName":         e.name, "Region": e.zone.region, "Zone": e.zone.name, "Limits.MemoryMb": "284",
			"Listen.Frontend": e.frontend, "Listen.Control": e.control, "Listen.Directory": e.directory, "Listen.Readiness": e.readiness,
			"Ip": e.ip, "PortRange.1": fmt.Sprint(admin), "PortRange.0": fmt.Sprint(w.agentPort), "Seeds": strings.Join(seeds, ","),
		})
		if err != nil {
			return err
		}
		if e.process, err = w.start(e.name, file, "entry", "serve"); err != nil {
			return err
		}
	}
	return nil
}

// addAgent starts the process beside a model runner.
func (w *world) addAgent(name, ip, service, app string) (*process, error) {
	admin, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, e := range w.entries[:min(len(w.entries), 3)] {
		seeds = append(seeds, e.control)
	}
	file, err := w.fill("platform/agent.ini", map[string]string{
		"Platform.Address": w.storeAt,
		"NodeName":         name, "Region": region, "Zone": domain, "Limits.MemoryMb": "152", "Ip": ip,
		"PortRange.0": fmt.Sprint(w.agentPort), "PortRange.1": fmt.Sprint(admin), "Seeds": strings.Join(seeds, ","), "Service": service, "app": app,
	})
	if err != nil {
		return nil, err
	}
	return w.start(name, file, "agent", "serve")
}

// fill writes the settings of a process, filled in from a template, and returns the file.
func (w *world) fill(template string, values map[string]string) (string, error) {
	data, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	text := string(data)
	for from, to := range map[string]string{
		"{{#Zones}}{{@}}:{{.}}{{,}}{{/Zones}}": zoneList(),
		"{{Seeds}}{{^Seeds}}none{{/Seeds}}":    values["Seeds"],
		"{{#Bounds.version_ms}}{{.}}{{/Bounds.version_ms}}{{^Bounds.version_ms}}0{{/Bounds.version_ms}}": fmt.Sprint(versionTime.Milliseconds()),
		"{{Bounds.GraceS}}":        fmt.Sprint(graceTime.Seconds()),
		"{{Bounds.RevokeMs}}":      fmt.Sprint(revokeTime.Milliseconds()),
		"{{Bounds.ConfigApplyMs}}": fmt.Sprint(applyTime.Milliseconds()),
		"{{Bounds.RetryRatio}}":    "0.2",
		"{{Bounds.RetrySlack}}":    "102",
		"{{Bounds.RetryWindowS}}":  "10",
	} {
		text = strings.ReplaceAll(text, from, to)
	}
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if i := strings.Index(text, "{{"); i >= 0 {
		return "", fmt.Errorf("%s: no value for %.40q", template, text[i:])
	}
	file := filepath.Join(w.dir, values["NodeName"]+".ini")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

// start starts a process of the project with the command of the deploy file.
func (w *world) start(name, file string, args ...string) (*process, error) {
	p := &process{name: name, file: file, args: append(args, "-settings", file)}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p.log = log
	w.processes = append(w.processes, p)
	return p, w.run(p)
}

// run starts a process, or starts it again after its end.
func (w *world) run(p *process) error {
	p.cmd = exec.Command(platformProgram, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// The processes of a case end with it, however it ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	w.record.line("process %s started, pid %d", p.name, p.cmd.Process.Pid)
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		p.mutex.Lock()
		p.state = cmd.ProcessState
		p.mutex.Unlock()
		w.record.line("process %s ended: %v", p.name, cmd.ProcessState)
		close(done)
	}(p.cmd)
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// isRunning reports whether the process has not ended.
func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until all entries are ready.
func (w *world) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(within)
	for _, e := range w.entries {
		for {
			r, err := client.Get("http://" + e.readiness + "/api/readyz")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after %v", e.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (w *world) stop() {
	for _, p := range w.processes {
		if p.isRunning() {
			_ = p.cmd.Process.Kill()
			p.signal(syscall.SIGCONT)
			<-p.done
		}
		_ = p.log.Close()
	}
	for _, l := range w.listeners {
		_ = l.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
		return
	}
	fmt.Println("logs are in", w.dir)
}
