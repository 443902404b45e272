// Package plan lays out the processes of a demonstration on loopback addresses
// and writes the settings file of each.
package plan

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"

	"currantport.example/core/hosts"
	"currantport.example/core/shell"
)

const (
	listenPort   = 7000
	upstreamPort = 8000
)

// FileName is the name of the file of a plan in its folder.
const FileName = "plan.json"

// Plan is the layout of a demonstration: the addresses of the fakes and the hosts.
type Plan struct {
	Config netip.AddrPort `json:"config"`
	Fleet  netip.AddrPort `json:"fleet"`
	Store  netip.AddrPort `json:"store"`
	Origin netip.AddrPort `json:"origin"`
	Hosts  []Host         `json:"hosts"`
}

// Host is one host of a plan.
type Host struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Domain  string         `json:"domain"`
	Role    string         `json:"role"`
	Address netip.AddrPort `json:"address"`
	// Upstream is the address of the engine or plain service of an agent. It is
	// zero for entries.
	Upstream netip.AddrPort `json:"upstream"`
	// Kind is engine or plain for agents, empty for entries.
	Kind string `json:"kind,omitempty"`
}

// Read reads the plan of a folder.
func Read(dir string) (Plan, error) {
	var p Plan
	data, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(data, &p)
}

// HostList returns the hosts as the platform lists them, all live.
func (p Plan) HostList() []hosts.Host {
	var all []hosts.Host
	for _, h := range p.Hosts {
		all = append(all, hosts.Host{
			Name:  hosts.Name(h.Name),
			Place: hosts.Place{Region: hosts.Region(h.Region), Domain: hosts.Domain(h.Domain)},
			Role:  hosts.Role(h.Role), State: hosts.StateLive, Address: h.Address,
		})
	}
	return all
}

// Command writes a plan, the settings files and the list of processes to start.
type Command struct {
	dir     string
	entries int
	engines int
	plains  int
	domains int
	// shared makes all agents of plain services share one service.
	shared        bool
	linkRate      string
	tokenInterval string
}

var regions = []string{"east", "middle", "west"}

// Name implements subcommands.Command.
func (c *Command) Name() string { return "plan" }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return "write the settings of a demonstration" }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return "stand plan -dir DIR [-entries N] [-engines N] [-plains N] [-domains N] [-shared] [-rate SIZE]\n  example: stand plan -dir run -engines 6\n"
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "run", "folder of the settings files")
	f.IntVar(&c.entries, "entries", 2, "number of entries")
	f.IntVar(&c.engines, "engines", 6, "number of agents with an engine")
	f.IntVar(&c.plains, "plains", 1, "number of agents with a plain service")
	f.IntVar(&c.domains, "domains", 1, "number of failure domains per region")
	f.BoolVar(&c.shared, "shared", false, "let all agents of plain services share one service")
	f.StringVar(&c.tokenInterval, "token", "2ms", "time between two tokens of an engine")
	f.StringVar(&c.linkRate, "rate", "64MiB", "bytes per second of the links of the store and the origin")
}

// Execute implements subcommands.Command.
func (c *Command) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.write(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return shell.ExitFailure
	}
	return shell.ExitOK
}

func (c *Command) write() error {
	p := c.layout()
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.dir, FileName), data, 0o600); err != nil {
		return err
	}
	w := settingsWriter{dir: c.dir}
	w.add("stand", "config", standSettings("config", p.Config, ""))
	w.add("stand", "fleet", standSettings("fleet", p.Fleet, ""))
	w.add("stand", "store", standSettings("store", p.Store, "[store]\nrate = "+c.linkRate+"\ncalls = 200\n"))
	w.add("stand", "origin", standSettings("store", p.Origin, "[store]\nrate = "+c.linkRate+"\n"))
	added := make(map[netip.AddrPort]bool)
	for _, h := range p.Hosts {
		if h.Role == string(hosts.RoleAgent) && !added[h.Upstream] {
			added[h.Upstream] = true
			w.add("stand", h.Kind+"-"+h.Name, standSettings(h.Kind, h.Upstream, "[engine]\ntoken = "+c.tokenInterval+"\n"))
		}
	}
	for _, h := range p.Hosts {
		w.add(h.Role, h.Name, hostSettings(p, h))
	}
	w.finish()
	return w.err
}

func (c *Command) layout() Plan {
	p := Plan{
		Config: address(0, 1), Fleet: address(0, 2),
		Store: address(0, 3), Origin: address(0, 4),
	}
	for i := range c.entries {
		p.Hosts = append(p.Hosts, c.host(hosts.RoleEntry, "entry", i, 1))
	}
	for i := range c.engines {
		h := c.host(hosts.RoleAgent, "model", i, 2)
		h.Kind, h.Upstream = "engine", netip.AddrPortFrom(h.Address.Addr(), upstreamPort)
		p.Hosts = append(p.Hosts, h)
	}
	for i := range c.plains {
		h := c.host(hosts.RoleAgent, "booking", i, 3)
		h.Kind, h.Upstream = "plain", netip.AddrPortFrom(h.Address.Addr(), upstreamPort)
		if c.shared {
			h.Upstream = netip.AddrPortFrom(address(0, 5).Addr(), upstreamPort)
		}
		p.Hosts = append(p.Hosts, h)
	}
	return p
}

func (c *Command) host(role hosts.Role, prefix string, i int, group byte) Host {
	region := regions[i%len(regions)]
	return Host{
		Name: fmt.Sprintf("%s-%d", prefix, i+1), Region: region, Domain: fmt.Sprintf("%s-%d", region, 1+i/len(regions)%max(c.domains, 1)),
		Role: string(role), Address: address(group, byte(i+1)),
	}
}

func address(group, number byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 10, group, number}), listenPort)
}

func standSettings(kind string, listen netip.AddrPort, extra string) string {
	return fmt.Sprintf("[stand]\nkind = %s\nlisten = %s\n%s", kind, listen, extra)
}

func hostSettings(p Plan, h Host) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[host]\nname = %s\nregion = %s\ndomain = %s\nlisten = %s\n", h.Name, h.Region, h.Domain, h.Address)
	fmt.Fprintf(&b, "[platform]\nconfig = http://%s\nfleet = http://%s\nprocesses = %d\n", p.Config, p.Fleet, len(p.Hosts))
	if h.Role == string(hosts.RoleEntry) {
		b.WriteString("[addresses]\nlifetime = 2s\n")
		return b.String()
	}
	fmt.Fprintf(&b, "store = http://%s\norigin = http://%s\n[upstream]\nurl = http://%s\nkind = %s\n[keys]\nresend = 1s\nlag = 1s\n", p.Store, p.Origin, h.Upstream, h.Kind)
	return b.String()
}

// settingsWriter writes settings files and the list of processes to start.
type settingsWriter struct {
	dir       string
	processes strings.Builder
	err       error
}

func (w *settingsWriter) add(program, name, text string) {
	file := filepath.Join(w.dir, name+".ini")
	fmt.Fprintf(&w.processes, "%s %s\n", program, name)
	w.write(file, text)
}

func (w *settingsWriter) finish() { w.write(filepath.Join(w.dir, "processes"), w.processes.String()) }

func (w *settingsWriter) write(file, text string) {
	if w.err == nil {
		w.err = os.WriteFile(file, []byte(text), 0o600)
	}
}
