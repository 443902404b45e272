package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
	"currantport.example/stand/internal/plan"
)

const (
	poolCount = 100
	// changeInterval corresponds to 35,000 changes a day.
	changeInterval = 24 * time.Hour / 35000
	startTimeout   = 30 * time.Second
	applyTimeout   = 15 * time.Second
	settleDelay    = 8 * time.Second
	idleDuration   = 20 * time.Second
	steadyDuration = 30 * time.Second
	applyTrials    = 5
	trialInterval  = 2 * time.Second
	pollInterval   = 50 * time.Millisecond
	statusWorkers  = 16
	statusTimeout  = 2 * time.Second
)

// scale measures the processes of one plan.
type scale struct {
	plan   plan.Plan
	client *http.Client
	peers  *http.Client
	// revision is that of the last published table of pools.
	revision uint64
}

func (s *scale) run(ctx context.Context) error {
	startTime, err := s.publishInitial(ctx)
	if err != nil {
		return err
	}
	time.Sleep(settleDelay)
	idle, err := s.measure(ctx, idleDuration, false)
	if err != nil {
		return err
	}
	steady, err := s.measure(ctx, steadyDuration, true)
	if err != nil {
		return err
	}
	applyTime, err := s.measureApplyTime(ctx)
	if err != nil {
		return err
	}
	idle.print("idle", len(s.plan.Hosts))
	steady.print("steady", len(s.plan.Hosts))
	t := steady.total()
	fmt.Printf("bench=fleet processes=%d start=%.2fs force=%.2fs reads=%.1f bytes=%.0f memory=%.0f heap=%.0f processor=%.2f%%\n",
		len(s.plan.Hosts), startTime.Seconds(), applyTime.Seconds(), t.readRate, t.byteRate, t.memoryBytes, t.heapBytes, t.cpuPercent)
	return nil
}

// publishInitial publishes all tables, waits until all processes have applied them and
// returns the time that took.
func (s *scale) publishInitial(ctx context.Context) (time.Duration, error) {
	if err := s.plan.WaitReady(ctx); err != nil {
		return 0, err
	}
	list, err := edges.EncodeHosts(s.plan.HostList())
	if err != nil {
		return 0, err
	}
	routes, err := tables.EncodeRoutes([]tables.Route{{Name: "book", Pool: poolName(0), Timeout: 10 * time.Second}})
	if err != nil {
		return 0, err
	}
	if _, err := s.put(ctx, s.plan.Config, "/v1/values/routes", routes); err != nil {
		return 0, err
	}
	if err := s.publish(ctx); err != nil {
		return 0, err
	}
	if _, err := s.put(ctx, s.plan.Fleet, "/v1/hosts", list); err != nil {
		return 0, err
	}
	return s.awaitApplied(ctx, startTimeout)
}

func poolName(i int) string { return fmt.Sprintf("bookings-%02d", i) }

// publish publishes the table of pools with one row changed.
func (s *scale) publish(ctx context.Context) error {
	rows := make([]tables.Pool, poolCount)
	for i := range rows {
		rows[i] = tables.Pool{Name: poolName(i), Kind: tables.PoolService, Favor: tables.FavorTime}
	}
	n := 0
	for _, h := range s.plan.Hosts {
		if h.Role == string(hosts.RoleAgent) {
			rows[n%poolCount].Hosts = append(rows[n%poolCount].Hosts, hosts.Name(h.Name))
			n++
		}
	}
	changed := &rows[int(s.revision)%poolCount]
	if len(changed.Hosts) > 1 {
		changed.Hosts = changed.Hosts[1:]
	}
	data, err := tables.EncodePools(rows)
	if err != nil {
		return err
	}
	header, err := s.put(ctx, s.plan.Config, "/v1/values/pools", data)
	if err != nil {
		return err
	}
	s.revision, err = strconv.ParseUint(header.Get("Revision"), 10, 64)
	return err
}

// measure returns the rates over a period, with or without changes of the tables.
func (s *scale) measure(ctx context.Context, d time.Duration, changes bool) (rates, error) {
	before, err := s.sample(ctx)
	if err != nil {
		return rates{}, err
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		if changes {
			if err := s.publish(ctx); err != nil {
				return rates{}, err
			}
		}
		time.Sleep(min(changeInterval, time.Until(end)))
	}
	after, err := s.sample(ctx)
	if err != nil {
		return rates{}, err
	}
	return after.since(before), nil
}

// measureApplyTime returns the longest time until a change was active at all processes.
func (s *scale) measureApplyTime(ctx context.Context) (time.Duration, error) {
	var longest time.Duration
	for range applyTrials {
		time.Sleep(trialInterval)
		if err := s.publish(ctx); err != nil {
			return 0, err
		}
		elapsed, err := s.awaitApplied(ctx, applyTimeout)
		if err != nil {
			return 0, err
		}
		longest = max(longest, elapsed)
	}
	return longest, nil
}

// awaitApplied waits until every process is ready and has applied the last revision.
func (s *scale) awaitApplied(ctx context.Context, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	pending := s.plan.Hosts
	for len(pending) > 0 {
		if time.Since(start) > timeout {
			return 0, fmt.Errorf("%d of %d processes have not applied revision %d after %s", len(pending), len(s.plan.Hosts), s.revision, timeout)
		}
		pending = s.lagging(ctx, pending)
		if len(pending) > 0 {
			time.Sleep(pollInterval)
		}
	}
	return time.Since(start), nil
}

// lagging returns the hosts whose process is not current or has not applied the last
// revision.
func (s *scale) lagging(ctx context.Context, all []plan.Host) []plan.Host {
	lagging := make([]bool, len(all))
	s.forEach(all, func(i int, h plan.Host) {
		r, err := s.status(ctx, h)
		lagging[i] = err != nil || !r.Fresh || poolsRevision(r) < s.revision
	})
	var remaining []plan.Host
	for i, h := range all {
		if lagging[i] {
			remaining = append(remaining, h)
		}
	}
	return remaining
}

func poolsRevision(r *wire.StatusReply) uint64 {
	for _, m := range r.Marks {
		if m.Table == string(tables.KindPools) {
			return m.Revision
		}
	}
	return 0
}

// forEach calls the function for all hosts, statusWorkers of them concurrently.
func (s *scale) forEach(all []plan.Host, call func(i int, h plan.Host)) {
	var group sync.WaitGroup
	for w := range statusWorkers {
		group.Go(func() {
			for i := w; i < len(all); i += statusWorkers {
				call(i, all[i])
			}
		})
	}
	group.Wait()
}

func (s *scale) status(ctx context.Context, h plan.Host) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	r, err := wire.NewAdminClient(s.peers, "http://"+h.Address.String()).Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func (s *scale) put(ctx context.Context, at netip.AddrPort, path string, body []byte) (http.Header, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+at.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	res, err := s.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", path, res.Status)
	}
	return res.Header, nil
}
