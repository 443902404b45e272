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
	// changeGap is the time between two of 35,000 changes a day.
	changeGap   = 24 * time.Hour / 35000
	startLimit  = 30 * time.Second
	forceLimit  = 15 * time.Second
	settleTime  = 8 * time.Second
	idleTime    = 20 * time.Second
	steadyTime  = 30 * time.Second
	trials      = 5
	trialGap    = 2 * time.Second
	pollGap     = 50 * time.Millisecond
	askers      = 16
	callTimeout = 2 * time.Second
)

// scale measures the processes of one plan.
type scale struct {
	plan   plan.Plan
	client *http.Client
	peers  *http.Client
	// revision is that of the pools table published last.
	revision uint64
}

func (s *scale) run(ctx context.Context) error {
	start, err := s.begin(ctx)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	idle, err := s.during(ctx, idleTime, false)
	if err != nil {
		return err
	}
	steady, err := s.during(ctx, steadyTime, true)
	if err != nil {
		return err
	}
	force, err := s.force(ctx)
	if err != nil {
		return err
	}
	idle.print("idle", len(s.plan.Hosts))
	steady.print("steady", len(s.plan.Hosts))
	t := steady.total()
	fmt.Printf("bench=fleet processes=%d start=%.2fs force=%.2fs reads=%.1f bytes=%.0f memory=%.0f heap=%.0f processor=%.2f%%\n",
		len(s.plan.Hosts), start.Seconds(), force.Seconds(), t.reads, t.bytes, t.memory, t.heap, t.processor)
	return nil
}

// begin publishes everything and waits until all processes hold it.
func (s *scale) begin(ctx context.Context) (time.Duration, error) {
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
	return s.await(ctx, startLimit)
}

func poolName(i int) string { return fmt.Sprintf("bookings-%02d", i) }

// publish publishes the pools anew with one row changed.
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

// during measures for a while, with or without changes.
func (s *scale) during(ctx context.Context, d time.Duration, changes bool) (spent, error) {
	before, err := s.sample(ctx)
	if err != nil {
		return spent{}, err
	}
	for end := time.Now().Add(d); time.Now().Before(end); {
		if changes {
			if err := s.publish(ctx); err != nil {
				return spent{}, err
			}
		}
		time.Sleep(min(changeGap, time.Until(end)))
	}
	after, err := s.sample(ctx)
	if err != nil {
		return spent{}, err
	}
	return after.since(before), nil
}

// force returns the longest time until a change was in force everywhere.
func (s *scale) force(ctx context.Context) (time.Duration, error) {
	var longest time.Duration
	for range trials {
		time.Sleep(trialGap)
		if err := s.publish(ctx); err != nil {
			return 0, err
		}
		took, err := s.await(ctx, forceLimit)
		if err != nil {
			return 0, err
		}
		longest = max(longest, took)
	}
	return longest, nil
}

// await waits until every process holds the last revision and is ready.
func (s *scale) await(ctx context.Context, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	waiting := s.plan.Hosts
	for len(waiting) > 0 {
		if time.Since(start) > limit {
			return 0, fmt.Errorf("%d of %d processes don't hold revision %d after %s", len(waiting), len(s.plan.Hosts), s.revision, limit)
		}
		waiting = s.lagging(ctx, waiting)
		if len(waiting) > 0 {
			time.Sleep(pollGap)
		}
	}
	return time.Since(start), nil
}

// lagging returns the hosts whose process doesn't hold the last revision.
func (s *scale) lagging(ctx context.Context, all []plan.Host) []plan.Host {
	lags := make([]bool, len(all))
	s.each(all, func(i int, h plan.Host) {
		r, err := s.status(ctx, h)
		lags[i] = err != nil || !r.Fresh || poolsOf(r) < s.revision
	})
	var left []plan.Host
	for i, h := range all {
		if lags[i] {
			left = append(left, h)
		}
	}
	return left
}

func poolsOf(r *wire.StatusReply) uint64 {
	for _, m := range r.Marks {
		if m.Table == string(tables.KindPools) {
			return m.Revision
		}
	}
	return 0
}

// each calls the function for all hosts, a few at a time.
func (s *scale) each(all []plan.Host, call func(i int, h plan.Host)) {
	var group sync.WaitGroup
	for a := range askers {
		group.Go(func() {
			for i := a; i < len(all); i += askers {
				call(i, all[i])
			}
		})
	}
	group.Wait()
}

func (s *scale) status(ctx context.Context, h plan.Host) (*wire.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	a, err := s.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return nil, err
	}
	if a.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", path, a.Status)
	}
	return a.Header, nil
}
