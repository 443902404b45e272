package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that reached a runner.
type arrival struct {
	at      time.Time
	attempt string
	service string
	runner  string
}

// bounds are those of the site file showgate.toml.
const bounds = `
[addresses]
lifetime = 1s

[stop]
within = 8s

[bounds]
revoke = 5000ms
apply = 2000ms
version = 8000ms
ratio = 0.2
slack = %d
window = 10s
`

// world is a small deployment: entries as processes, and a store, runners and consumers of this program.
type world struct {
	record  *recorder
	store   *store
	folder  string
	network string
	server  *http.Server
	at      string
	entries []*entry
	runners []*runner
	// zones maps each zone to its region.
	zones map[string]string

	// slack is RetrySlack and maxConns the MaxConns of the services.
	slack    int
	maxConns int

	mutex sync.Mutex
	// ready are the entries that have been ready.
	ready    []*entry
	arrivals []arrival
	// sent are the times at which consumers sent their attempts.
	sent []time.Time
	// killedAt and startedAt are when all entries were killed and started again, or zero.
	killedAt, startedAt time.Time
}

func newWorld(r *recorder) (*world, error) {
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	w := &world{
		record: r, store: newStore(), folder: folder, network: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(250)),
		zones: map[string]string{"may-pen-a": "may-pen", "mandeville-a": "mandeville", "montego-a": "montego"},
		slack: retrySlack, maxConns: 100,
	}
	l, err := net.Listen("tcp", w.network+"250:0")
	if err != nil {
		return nil, err
	}
	w.at, w.server = l.Addr().String(), &http.Server{Handler: w.store}
	go w.server.Serve(l)
	return w, nil
}

func (w *world) stop() {
	for _, e := range w.entries {
		e.kill()
	}
	for _, u := range w.runners {
		u.stop()
	}
	_ = w.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

func (w *world) arrived(a arrival) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.arrivals = append(w.arrivals, a)
}

// addRunner starts a runner with a free port.
func (w *world) addRunner(u *runner) error {
	u.world, u.name = w, fmt.Sprint(len(w.runners)+1)
	at, err := freePort(w.network + fmt.Sprint(100+len(w.runners)))
	if err != nil {
		return err
	}
	u.address = at
	w.runners = append(w.runners, u)
	return u.start()
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// entry is an entry as a process of its own.
type entry struct {
	process
	zone                                     string
	calls, mesh, admin, directory, readiness string
}

// addEntry prepares an entry in a zone. Its settings are those of the template platform/entry.ini.
func (w *world) addEntry(zone string) error {
	ip := w.network + fmt.Sprint(10+len(w.entries))
	e := &entry{zone: zone, process: process{world: w, name: fmt.Sprintf("edge-%s-%d", zone, len(w.entries)+1)}}
	for _, at := range []*string{&e.calls, &e.mesh, &e.admin, &e.directory, &e.readiness} {
		var err error
		if *at, err = freePort(ip); err != nil {
			return err
		}
	}
	w.entries = append(w.entries, e)
	return nil
}

// startEntries writes the settings of the entries that don't run and starts them.
func (w *world) startEntries() error {
	for _, e := range w.entries {
		if e.command != nil {
			continue
		}
		text := fmt.Sprintf("[host]\nname = %s\nregion = %s\ndomain = %s\ndomains = %s\nmemory = 284MiB\n\n[listen]\ncalls = %s\nmesh = %s\nadmin = %s\n\n[mesh]\nseeds = %s\nagent = 7700\n\n[platform]\nstore = %s\ndirectory = %s\nreadiness = %s\nstable = 3000ms\n%s",
			e.name, w.zones[e.zone], e.zone, w.domains(), e.calls, e.mesh, e.admin, w.seeds(), w.at, e.directory, e.readiness, fmt.Sprintf(bounds, w.slack))
		settings := filepath.Join(w.folder, e.name+".ini")
		e.args = []string{"entry", "serve", "-settings", settings}
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(10 * time.Second)
}

// allEntries returns the entries, ready or not.
func (w *world) allEntries() []*entry { return w.entries }

// seeds returns the addresses of the first three entries, domains the zones with their regions.
func (w *world) seeds() string {
	var all []string
	for _, e := range w.entries[:min(len(w.entries), 3)] {
		all = append(all, e.mesh)
	}
	return strings.Join(all, ",")
}

func (w *world) domains() string {
	var all []string
	for zone, region := range w.zones {
		all = append(all, zone+":"+region)
	}
	return strings.Join(all, ",")
}

// process is a program of the project.
type process struct {
	world   *world
	name    string
	args    []string
	command *exec.Cmd
	done    chan struct{}
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.world.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.command = exec.Command("target/platform", p.args...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.world.folder, "CURRANTPORT_BOOT=" + p.args[len(p.args)-1]}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(p.command, p.done)
	p.world.record.add("%s starts", p.name)
	return nil
}

func (p *process) kill() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	select {
	case <-p.done:
		return
	default:
	}
	_ = p.command.Process.Kill()
	<-p.done
	p.world.record.add("%s was killed", p.name)
}

// awaitReady waits until all entries say that they are ready.
func (w *world) awaitReady(most time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	for _, e := range w.entries {
		for !e.isReady(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("entry %s isn't ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.mutex.Lock()
	w.ready = slices.Clone(w.entries)
	w.mutex.Unlock()
	w.record.add("all entries are ready")
	return nil
}

func (e *entry) isReady(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.readiness+"/api/readyz", nil)
	if err != nil {
		return false
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// route is one of the configuration.
type route struct {
	Name, Host, Prefix, RouteKind string
	TimeoutMs, SloMs              int
	Priority                      int
	Service                       string
	MaxAttempts                   int
	Anonymous                     bool
}

// configure writes a version of the configuration, with two tenants.
func (w *world) configure(version int, routes []route, services ...string) {
	var all []map[string]any
	for _, s := range services {
		all = append(all, map[string]any{"Name": s, "HealthPath": "/healthz", "MaxConns": w.maxConns, "Protocol": "h1", "Tls": false})
	}
	w.store.put("op/config", map[string]any{
		"Version": version, "Routes": routes, "Services": all,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{
			{"Name": "shows", "ApiKeys": []string{showsKey}, "Priority": 1},
			{"Name": "kiosks", "ApiKeys": []string{kiosksKey}, "Priority": 1},
		},
	})
}

// The keys of the two tenants.
const (
	showsKey  = "jnbanfqasnmgkcuyj8pj"
	kiosksKey = "bvk9m68k7b2ex5wa5xwy"
)
