package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"currantport.example/core/state"
	"currantport.example/platform/fakes"
)

const (
	workspaceCount = 4
	// keptRoutes is for how many generations a route of the generation stays.
	keptRoutes = 3
)

// generation is one published configuration.
type generation struct {
	number int
	// sent is when the operator began to publish it, taken when the store had it.
	sent, taken time.Time
	// pools maps the prefix of each route to its pool.
	pools map[string]string
}

// key is a key of a workspace.
type key struct {
	text      string
	workspace string
	// given and revoked are when the store took the configurations that have added it and
	// taken it away, or zero.
	given   time.Time
	revoked time.Time
}

// released is a version of the model.
type released struct {
	number int
	taken  time.Time
}

// operator publishes configurations and versions. Goroutines share it.
type operator struct {
	world *world

	mutex       sync.Mutex
	generations []generation
	keys        []*key
	versions    []released
	// drains holds when the store took that an upstream drains, by id.
	drains map[string]time.Time
}

func newOperator(w *world) *operator {
	o := &operator{world: w, drains: make(map[string]time.Time)}
	for i := range workspaceCount {
		o.addKey(workspaceName(i))
	}
	return o
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

func (o *operator) addKey(workspace string) {
	o.keys = append(o.keys, &key{text: fmt.Sprintf("key-%d-%s", len(o.keys), workspace), workspace: workspace})
}

// begin publishes the first configuration and the first version.
func (o *operator) begin() error {
	if err := o.publish(false); err != nil {
		return err
	}
	return o.release()
}

// Prefixes of routes.
const (
	prefixRead = "/read/"
	prefixBook = "/book/"
	prefixAsk  = "/ask/"
	prefixTale = "/tale/"
	prefixMove = "/move/"
)

func prefixOf(generation int) string { return fmt.Sprintf("/generation%d/", generation) }

// publish sends the next configuration. With revoke it takes a key away and adds another
// one for the same workspace.
func (o *operator) publish(revoke bool) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	g := generation{number: len(o.generations) + 1, pools: map[string]string{
		prefixRead: poolDesk, prefixBook: poolDesk, prefixAsk: poolMinds, prefixTale: poolMinds, prefixMove: poolDesk,
	}}
	if g.number%2 == 0 {
		g.pools[prefixMove] = poolAnnex
	}
	for n := g.number; n > max(g.number-keptRoutes, 0); n-- {
		g.pools[prefixOf(n)] = poolDesk
	}
	var gone *key
	if revoke {
		gone = o.valid()[0]
		o.addKey(gone.workspace)
	}
	g.sent = time.Now()
	var err error
	if g.taken, err = o.world.store.PublishConfig(o.config(g, gone)); err != nil {
		return err
	}
	if gone != nil {
		gone.revoked = g.taken
	}
	for _, k := range o.keys {
		if k.given.IsZero() {
			k.given = g.taken
		}
	}
	o.generations = append(o.generations, g)
	return nil
}

// valid returns the keys in force, the oldest first.
func (o *operator) valid() []*key {
	var all []*key
	for _, k := range o.keys {
		if k.revoked.IsZero() {
			all = append(all, k)
		}
	}
	return all
}

func (o *operator) config(g generation, gone *key) fakes.Config {
	c := fakes.Config{
		// Versions grow in uneven steps.
		Version: int64(3*g.number + g.number%2),
		Limits:  state.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second},
		Pools: []state.Pool{
			{Name: poolMinds, MaxConnections: upstreamConn, Engine: engine()},
			{Name: poolDesk, MaxConnections: upstreamConn},
			{Name: poolAnnex, MaxConnections: upstreamConn},
			{Name: poolOrigin, Origin: &state.Origin{Address: o.world.options.address(groupOutside, 1, portOrigin), Domain: string(domains[0]), Rate: originRate, MaxConnections: upstreamConn}},
		},
	}
	for prefix, pool := range g.pools {
		c.Routes = append(c.Routes, state.Route{
			Name: prefix[1 : len(prefix)-1], Host: hostName, Prefix: prefix, Targets: []state.Target{{Pool: pool, Weight: 1}},
			Idempotent: prefix != prefixBook && pool != poolMinds, Stream: pool == poolMinds, Resumable: prefix == prefixTale,
			Timeout: routeTimeout, Objective: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, MaxAttempts: 3,
		})
	}
	for i := range workspaceCount {
		w := state.Workspace{Name: workspaceName(i)}
		for _, k := range o.valid() {
			if k.workspace == w.Name && k != gone {
				w.Keys = append(w.Keys, k.text)
			}
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return c
}

// release publishes the next version of the model.
func (o *operator) release() error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	n := len(o.versions) + 1
	o.world.origin.Publish(n)
	at, err := o.world.store.PublishRelease(state.Release{Model: modelName, Version: n})
	if err == nil {
		o.versions = append(o.versions, released{number: n, taken: at})
	}
	return err
}

func (o *operator) drained(id string, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.drains[id] = at
}

func (o *operator) drainOf(id string) (time.Time, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	at, ok := o.drains[id]
	return at, ok
}

// pick returns the n-th key ever given, which may be revoked, modulo their number.
func (o *operator) pick(n int) key {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return *o.keys[n%len(o.keys)]
}

// keyOf returns a key as it is now.
func (o *operator) keyOf(text string) key {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	i := slices.IndexFunc(o.keys, func(k *key) bool { return k.text == text })
	return *o.keys[i]
}

// newest returns the number of the last configuration.
func (o *operator) newest() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.generations)
}

// history returns all configurations and versions so far.
func (o *operator) history() ([]generation, []released) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.generations), slices.Clone(o.versions)
}
