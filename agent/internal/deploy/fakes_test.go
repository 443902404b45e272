package deploy_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	"currantport.example/core/engine"
	"currantport.example/core/orders"
	"currantport.example/core/tables"
)

// versions are the names of the versions, each of one chunk.
var versions = []string{"one", "two", "three"}

// manifestOf returns the manifest of a version.
func manifestOf(name string) (chunks.Digest, []byte) {
	file := chunks.File{Path: "weights", Size: int64(len(name)), Chunks: []chunks.Digest{chunks.Sum([]byte(name))}}
	m := chunks.Manifest{ChunkBytes: 64, Files: []chunks.File{file}}
	encoded, _ := m.Encode()
	return chunks.Sum(encoded), encoded
}

func poolRow(name string) tables.Pool {
	digest, _ := manifestOf(name)
	return tables.Pool{Version: name, Manifest: digest}
}

// fenceSupport says how an engine treats fences: fenced refuses orders with an old
// fence, hidden doesn't report the fence.
type fenceSupport struct{ fenced, hidden bool }

// fakeEngine is an engine whose loads take loadTime.
type fakeEngine struct {
	engine.Service
	fences fenceSupport
	mutex  sync.Mutex
	state  engine.State
	loads  int
	// failures is how many more loads end without a version.
	failures atomic.Int64
	// changedAt is when the state last changed.
	changedAt time.Time
}

func (e *fakeEngine) State(context.Context) (engine.State, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.state
	if e.fences.hidden {
		s.Fence = 0
	}
	return s, nil
}

// Load executes an order. An incomplete load ends without a version.
func (e *fakeEngine) Load(ctx context.Context, o engine.Order, incomplete bool) error {
	e.mutex.Lock()
	if e.fences.fenced && o.Fence <= e.state.Fence {
		e.mutex.Unlock()
		return edges.ErrFenced
	}
	e.loads++
	e.changedAt = time.Now()
	load := e.loads
	e.state = engine.State{Fence: o.Fence, Loading: true, StartID: e.state.StartID}
	e.mutex.Unlock()
	select {
	case <-time.After(loadTime):
	case <-ctx.Done():
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loads != load {
		return errInjected
	}
	e.state.Loading = false
	e.changedAt = time.Now()
	if e.failures.Add(-1) >= 0 || incomplete || ctx.Err() != nil {
		return ctx.Err()
	}
	e.state = engine.State{
		Fence: o.Fence, Model: o.Model, Version: o.Version, Manifest: o.Manifest, Base: o.Base, Role: o.Role, StartID: e.state.StartID,
	}
	return nil
}

func (e *fakeEngine) restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.loads++
	e.changedAt = time.Now()
	e.state = engine.State{StartID: e.state.StartID + "again"}
}

// delivery is an order on its way to the engine, which it reaches after the delay.
type delivery struct {
	process    *process
	order      engine.Order
	delay      time.Duration
	incomplete bool
	cancel     context.CancelFunc
	done       chan error
}

func (d *delivery) run(ctx context.Context) {
	time.Sleep(d.delay)
	d.done <- d.process.world.engines[d.process.host].Load(ctx, d.order, d.incomplete)
}

// client sends requests to a process, which are admitted as a gate does.
type client struct{ process *process }

func (c *client) run() {
	p := c.process
	e := p.world.engines[p.host]
	for !p.isDead() && p.world.context.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if time.Now().Before(p.pausedUntil()) {
			continue
		}
		p.inProgress.Add(1)
		if s := p.loader.State(); !s.Loading && !s.Manifest.IsZero() {
			p.admitted.Add(1)
			e.checkServes(p.world.t, s)
			time.Sleep(120 * time.Millisecond)
			p.admitted.Add(-1)
		}
		p.inProgress.Add(-1)
	}
}

// checkServes fails the test if the engine stopped serving what a gate admits requests to
// more than 2.5 s ago.
func (e *fakeEngine) checkServes(t *testing.T, s engine.State) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if orders.ServedTarget(e.state) != orders.ServedTarget(s) && time.Since(e.changedAt) > 2500*time.Millisecond {
		t.Errorf("a request is admitted to version %s, which the engine stopped serving %s ago", s.Version, time.Since(e.changedAt))
	}
}
