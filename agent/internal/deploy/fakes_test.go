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

// names are those of the versions, each of one chunk.
var names = []string{"one", "two", "three"}

// release returns the manifest of a version.
func release(name string) (chunks.Digest, []byte) {
	file := chunks.File{Path: "weights", Size: int64(len(name)), Chunks: []chunks.Digest{chunks.Sum([]byte(name))}}
	m := chunks.Manifest{ChunkBytes: 64, Files: []chunks.File{file}}
	encoded, _ := m.Encode()
	return chunks.Sum(encoded), encoded
}

func row(name string) tables.Pool {
	digest, _ := release(name)
	return tables.Pool{Version: name, Manifest: digest}
}

// kind says how an engine treats fences.
type kind struct{ fenced, mute bool }

// fakeEngine is an engine that takes loadTime for a load.
type fakeEngine struct {
	engine.Service
	kind   kind
	mutex  sync.Mutex
	state  engine.State
	serial int
	// fails is how many loads end without a version.
	fails atomic.Int64
	// changed is when the state changed last.
	changed time.Time
}

func (e *fakeEngine) State(context.Context) (engine.State, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.state
	if e.kind.mute {
		s.Fence = 0
	}
	return s, nil
}

// Load carries out an order; half makes it end without a version.
func (e *fakeEngine) Load(ctx context.Context, o engine.Order, half bool) error {
	e.mutex.Lock()
	if e.kind.fenced && o.Fence <= e.state.Fence {
		e.mutex.Unlock()
		return edges.ErrFenced
	}
	e.serial++
	e.changed = time.Now()
	serial := e.serial
	e.state = engine.State{Fence: o.Fence, Loading: true, StartID: e.state.StartID}
	e.mutex.Unlock()
	select {
	case <-time.After(loadTime):
	case <-ctx.Done():
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.serial != serial {
		return errFault
	}
	e.state.Loading = false
	e.changed = time.Now()
	if e.fails.Add(-1) >= 0 || half || ctx.Err() != nil {
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
	e.serial++
	e.changed = time.Now()
	e.state = engine.State{StartID: e.state.StartID + "again"}
}

// carry brings an order to the engine.
type carry struct {
	process *process
	order   engine.Order
	wait    time.Duration
	half    bool
	cancel  context.CancelFunc
	done    chan error
}

func (c *carry) run(ctx context.Context) {
	time.Sleep(c.wait)
	c.done <- c.process.world.engines[c.process.host].Load(ctx, c.order, c.half)
}

// caller sends requests to a process as a gate admits them.
type caller struct{ process *process }

func (c *caller) run() {
	p := c.process
	e := p.world.engines[p.host]
	for !p.isDead() && p.world.context.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if time.Now().Before(p.blocked()) {
			continue
		}
		p.running.Add(1)
		if s := p.loader.State(); !s.Loading && !s.Manifest.IsZero() {
			p.admitted.Add(1)
			e.check(p.world.t, s)
			time.Sleep(120 * time.Millisecond)
			p.admitted.Add(-1)
		}
		p.running.Add(-1)
	}
}

// check fails if an engine has long ceased to serve what a gate admits to.
func (e *fakeEngine) check(t *testing.T, s engine.State) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if orders.ServedTarget(e.state) != orders.ServedTarget(s) && time.Since(e.changed) > 2500*time.Millisecond {
		t.Errorf("a request is admitted to version %s, which the engine hasn't served for %s", s.Version, time.Since(e.changed))
	}
}
