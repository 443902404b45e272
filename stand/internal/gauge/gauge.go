package gauge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxStartAttempts = 100
	startInterval    = 100 * time.Millisecond
	warmUpRequests   = 200
	measuredRequests = 3000
	loadClients      = 64
	loadDuration     = 4 * time.Second
	// maxLatency is the largest latency that a histogram can record, in nanoseconds.
	maxLatency        = int64(10 * time.Second)
	significantDigits = 3
	medianPercentile  = 50
	tailPercentile    = 99
)

// gauge measures one entry, one agent and its engine.
type gauge struct {
	client *http.Client
	entry  target
	agent  target
}

func (g *gauge) run(ctx context.Context) error {
	direct := "http://" + g.agent.upstream.String() + "/v1/run/draft"
	routed := "http://" + g.entry.address.String() + "/v1/routes/draft"
	if err := g.awaitReady(ctx, routed); err != nil {
		return err
	}
	directTimes, routedTimes := newHistogram(), newHistogram()
	// The two alternate, so that other load of the machine affects both.
	for i := range warmUpRequests + measuredRequests {
		if err := g.measure(ctx, direct, directTimes, i >= warmUpRequests); err != nil {
			return err
		}
		if err := g.measure(ctx, routed, routedTimes, i >= warmUpRequests); err != nil {
			return err
		}
	}
	u, err := g.generateLoad(ctx, routed)
	if err != nil {
		return err
	}
	fmt.Printf("bench=request median=%.2f tail=%.2f added=%s busy=%s rate=%.0f percore=%.0f allocations=%.0f bytes=%.0f\n",
		ratio(routedTimes, directTimes, medianPercentile), ratio(routedTimes, directTimes, tailPercentile),
		time.Duration(routedTimes.ValueAtPercentile(medianPercentile)-directTimes.ValueAtPercentile(medianPercentile)).Round(time.Microsecond),
		time.Duration(u.latencies.ValueAtPercentile(medianPercentile)).Round(time.Microsecond),
		float64(u.requests)/loadDuration.Seconds(), float64(u.requests)/u.cpuSeconds, u.allocations/float64(u.requests), u.allocatedBytes/float64(u.requests))
	return nil
}

// awaitReady returns once a request succeeds. An entry that has just started refuses
// requests until its tables are current.
func (g *gauge) awaitReady(ctx context.Context, url string) error {
	var last error
	for range maxStartAttempts {
		if last = g.send(ctx, url); last == nil {
			return nil
		}
		time.Sleep(startInterval)
	}
	return last
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, significantDigits)
}

func ratio(a, b *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(a.ValueAtPercentile(percentile)) / float64(b.ValueAtPercentile(percentile))
}

// measure sends a request and adds its latency to the histogram if record is set.
func (g *gauge) measure(ctx context.Context, url string, h *hdrhistogram.Histogram, record bool) error {
	start := time.Now()
	if err := g.send(ctx, url); err != nil {
		return err
	}
	if !record {
		return nil
	}
	return h.RecordValue(int64(time.Since(start)))
}

// send sends one request and reads its response.
func (g *gauge) send(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"prompt":"hens"}`))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Workspace", "harbour")
	res, err := g.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, res.Status)
	}
	return nil
}

// usage is what the entry and the agent have used together since their start.
type usage struct {
	requests       int
	cpuSeconds     float64
	allocations    float64
	allocatedBytes float64
	// latencies are those of the requests, in nanoseconds.
	latencies *hdrhistogram.Histogram
}

// generateLoad runs loadClients clients for loadDuration and returns what the processes
// used.
func (g *gauge) generateLoad(ctx context.Context, url string) (usage, error) {
	before, err := g.usage(ctx)
	if err != nil {
		return usage{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, loadDuration)
	defer cancel()
	var group sync.WaitGroup
	clients := make([]client, loadClients)
	for i := range clients {
		clients[i] = client{gauge: g, url: url, latencies: newHistogram()}
		group.Go(func() { clients[i].run(ctx) })
	}
	group.Wait()
	after, err := g.usage(context.WithoutCancel(ctx))
	if err != nil {
		return usage{}, err
	}
	u := usage{
		cpuSeconds: after.cpuSeconds - before.cpuSeconds, allocations: after.allocations - before.allocations,
		allocatedBytes: after.allocatedBytes - before.allocatedBytes, latencies: newHistogram(),
	}
	for _, c := range clients {
		u.latencies.Merge(c.latencies)
	}
	u.requests = int(u.latencies.TotalCount())
	return u, nil
}

// client sends one request at a time until its context ends.
type client struct {
	gauge *gauge
	url   string
	// latencies are those of the requests that succeeded, in nanoseconds.
	latencies *hdrhistogram.Histogram
}

func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		// A failed request has no latency.
		_ = c.gauge.measure(ctx, c.url, c.latencies, true)
	}
}

// usage returns the sum over the entry and the agent.
func (g *gauge) usage(ctx context.Context) (usage, error) {
	var sum usage
	for _, at := range []netip.AddrPort{g.entry.address, g.agent.address} {
		u, err := g.processUsage(ctx, at)
		if err != nil {
			return usage{}, err
		}
		sum.cpuSeconds += u.cpuSeconds
		sum.allocations += u.allocations
		sum.allocatedBytes += u.allocatedBytes
	}
	return sum, nil
}

// processUsage reads the usage of one process from its metrics.
func (g *gauge) processUsage(ctx context.Context, at netip.AddrPort) (usage, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/metrics", nil)
	if err != nil {
		return usage{}, err
	}
	res, err := g.client.Do(r)
	if err != nil {
		return usage{}, err
	}
	defer func() { _ = res.Body.Close() }()
	var u usage
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "process_cpu_seconds_total":
			u.cpuSeconds = number
		case "go_memstats_mallocs_total":
			u.allocations = number
		case "go_memstats_alloc_bytes_total":
			u.allocatedBytes = number
		}
	}
	return u, lines.Err()
}
