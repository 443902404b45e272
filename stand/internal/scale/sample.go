package scale

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/stand/internal/plan"
)

// netDeviceFile lists the byte counts of each network device of the namespace.
const netDeviceFile = "/proc/self/net/dev"

// usage is what one process has used since its start.
type usage struct {
	role        string
	cpuSeconds  float64
	memoryBytes float64
	heapBytes   float64
	// reads counts the calls of the process to the platform.
	reads uint64
}

// sample is the usage of a fleet at one time.
type sample struct {
	at time.Time
	// loopbackBytes is the number of bytes carried by the loopback device.
	loopbackBytes uint64
	usages        []usage
}

func (s *scale) sample(ctx context.Context) (sample, error) {
	m := sample{at: time.Now(), usages: make([]usage, len(s.plan.Hosts))}
	var err error
	if m.loopbackBytes, err = readLoopbackBytes(); err != nil {
		return m, err
	}
	errs := make([]error, len(s.plan.Hosts))
	s.forEach(s.plan.Hosts, func(i int, h plan.Host) { m.usages[i], errs[i] = s.usage(ctx, h) })
	for _, err := range errs {
		if err != nil {
			return m, err
		}
	}
	return m, nil
}

func (s *scale) usage(ctx context.Context, h plan.Host) (usage, error) {
	u := usage{role: h.Role}
	r, err := s.status(ctx, h)
	if err != nil {
		return u, err
	}
	u.reads = r.Reads
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Address.String()+"/metrics", nil)
	if err != nil {
		return u, err
	}
	res, err := s.client.Do(q)
	if err != nil {
		return u, err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		u.parseLine(lines.Text())
	}
	return u, lines.Err()
}

func (u *usage) parseLine(line string) {
	name, value, _ := strings.Cut(line, " ")
	number, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return
	}
	switch name {
	case "process_cpu_seconds_total":
		u.cpuSeconds = number
	case "process_resident_memory_bytes":
		u.memoryBytes = number
	case "go_memstats_heap_inuse_bytes":
		u.heapBytes = number
	}
}

// readLoopbackBytes returns the number of bytes carried by the loopback device, including
// TCP and IP headers.
func readLoopbackBytes() (uint64, error) {
	data, err := os.ReadFile(netDeviceFile)
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		name, counts, ok := strings.Cut(line, ":")
		if fields := strings.Fields(counts); ok && strings.TrimSpace(name) == "lo" && len(fields) > 0 {
			return strconv.ParseUint(fields[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("%s lists no loopback device", netDeviceFile)
}

// roleRates is what the processes of a role use, summed over them. total returns means
// instead.
type roleRates struct {
	processes int
	// cpuPercent is in hundredths of a core.
	cpuPercent  float64
	memoryBytes float64
	heapBytes   float64
	// maxCPUPercent is the highest cpuPercent of one process.
	maxCPUPercent float64
	// readRate and byteRate are per second.
	readRate float64
	byteRate float64
}

// rates is what a fleet used over a period, by role.
type rates struct {
	byRole map[string]*roleRates
	// byteRate is the number of bytes carried by the loopback device per second.
	byteRate float64
}

// since returns the rates between an earlier sample and this one.
func (s sample) since(before sample) rates {
	seconds := s.at.Sub(before.at).Seconds()
	all := rates{byRole: map[string]*roleRates{}, byteRate: float64(s.loopbackBytes-before.loopbackBytes) / seconds}
	for i, u := range s.usages {
		m := all.byRole[u.role]
		if m == nil {
			m = &roleRates{}
			all.byRole[u.role] = m
		}
		cpuPercent := 100 * (u.cpuSeconds - before.usages[i].cpuSeconds) / seconds
		m.processes++
		m.cpuPercent += cpuPercent
		m.maxCPUPercent = max(m.maxCPUPercent, cpuPercent)
		m.memoryBytes += u.memoryBytes
		m.heapBytes += u.heapBytes
		m.readRate += float64(u.reads-before.usages[i].reads) / seconds
	}
	return all
}

// total returns the means per process over both roles; the read rate is that of all
// processes. Each byte on the device is sent by one process and received by another, so it
// counts twice.
func (r rates) total() roleRates {
	var t roleRates
	for _, m := range r.byRole {
		t.processes += m.processes
		t.cpuPercent += m.cpuPercent
		t.memoryBytes += m.memoryBytes
		t.heapBytes += m.heapBytes
		t.readRate += m.readRate
	}
	n := float64(t.processes)
	t.cpuPercent, t.memoryBytes, t.heapBytes = t.cpuPercent/n, t.memoryBytes/n, t.heapBytes/n
	t.byteRate = 2 * r.byteRate / n
	return t
}

func (r rates) print(phase string, processes int) {
	for _, role := range []hosts.Role{hosts.RoleEntry, hosts.RoleAgent} {
		m := r.byRole[string(role)]
		if m == nil {
			continue
		}
		n := float64(m.processes)
		fmt.Printf("phase=%s role=%s processes=%d of=%d processor=%.2f%% most=%.2f%% memory=%.0f heap=%.0f reads=%.1f\n",
			phase, role, m.processes, processes, m.cpuPercent/n, m.maxCPUPercent, m.memoryBytes/n, m.heapBytes/n, m.readRate)
	}
	fmt.Printf("phase=%s bytes=%.0f\n", phase, r.total().byteRate)
}
