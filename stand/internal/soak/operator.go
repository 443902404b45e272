package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/platform/fakes"
)

const (
	workspaceCount = 4
	// routeGenerations is the number of generations for which the route of a generation is
	// kept.
	routeGenerations = 3
)

// generation is one published configuration.
type generation struct {
	number int
	// publishedAt is when the operator began to publish it, storedAt when the store had
	// accepted it.
	publishedAt, storedAt time.Time
	// pools maps the prefix of each route to its pool.
	pools map[string]string
	// homes are the home regions, by prefix of a route or name of a workspace.
	homes map[string][]hosts.Region
}

// apiKey is an API key of a workspace.
type apiKey struct {
	value     string
	workspace string
	// grantedAt and revokedAt are when the store accepted the configuration that added or
	// removed the key, or zero.
	grantedAt time.Time
	revokedAt time.Time
}

// modelVersion is a released version of the model.
type modelVersion struct {
	number   int
	storedAt time.Time
}

// operator publishes configurations and versions. It is safe for concurrent use.
type operator struct {
	world *world

	mutex       sync.Mutex
	generations []generation
	keys        []*apiKey
	versions    []modelVersion
	// drains is when the store accepted that an upstream drains, by id.
	drains map[string]time.Time
	// homes are the home regions of the next configuration, keyed as in generation.
	homes map[string][]hosts.Region
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
	o.keys = append(o.keys, &apiKey{value: fmt.Sprintf("key-%d-%s", len(o.keys), workspace), workspace: workspace})
}

// publishInitial publishes the first configuration and the first version.
func (o *operator) publishInitial() error {
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

func generationPrefix(generation int) string { return fmt.Sprintf("/generation%d/", generation) }

// publish publishes the next configuration. With revoke it replaces the oldest valid key by
// another one of the same workspace.
func (o *operator) publish(revoke bool) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	g := generation{number: len(o.generations) + 1, pools: map[string]string{
		prefixRead: poolDesk, prefixBook: poolDesk, prefixAsk: poolMinds, prefixTale: poolMinds, prefixMove: poolDesk,
	}}
	g.homes = o.homes
	if g.number%2 == 0 {
		g.pools[prefixMove] = poolAnnex
	}
	for n := g.number; n > max(g.number-routeGenerations, 0); n-- {
		g.pools[generationPrefix(n)] = poolDesk
	}
	var revoked *apiKey
	if revoke {
		revoked = o.validKeys()[0]
		o.addKey(revoked.workspace)
	}
	g.publishedAt = time.Now()
	var err error
	if g.storedAt, err = o.world.store.PublishConfig(o.buildConfig(g, revoked)); err != nil {
		return err
	}
	if revoked != nil {
		revoked.revokedAt = g.storedAt
	}
	for _, k := range o.keys {
		if k.grantedAt.IsZero() {
			k.grantedAt = g.storedAt
		}
	}
	o.generations = append(o.generations, g)
	return nil
}

// validKeys returns the keys that are not revoked, the oldest first. The caller holds the
// mutex.
func (o *operator) validKeys() []*apiKey {
	var all []*apiKey
	for _, k := range o.keys {
		if k.revokedAt.IsZero() {
			all = append(all, k)
		}
	}
	return all
}

func (o *operator) buildConfig(g generation, revoked *apiKey) fakes.Config {
	c := fakes.Config{
		// Versions increase in steps of different size.
		Version: int64(3*g.number + g.number%2),
		Limits: state.Limits{
			HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second,
			IdleTimeout: 20*time.Second + time.Duration(g.number%2)*time.Second,
		},
		Pools: []state.Pool{
			o.world.withCold(state.Pool{Name: poolMinds, MaxConnections: maxConnections, Engine: o.world.engineRow()}),
			o.world.withCold(state.Pool{Name: poolDesk, MaxConnections: maxConnections}),
			o.world.withCold(state.Pool{Name: poolAnnex, MaxConnections: maxConnections}),
			{Name: poolOrigin, Origin: &state.Origin{Address: o.world.options.address(groupExternal, 1, portOrigin), Domain: string(domains[0]), Rate: originRate, MaxConnections: maxConnections}},
		},
	}
	for prefix, pool := range g.pools {
		c.Routes = append(c.Routes, state.Route{
			Name: prefix[1 : len(prefix)-1], Host: hostName, Prefix: prefix, Targets: []state.Target{{Pool: pool, Weight: 1}},
			Idempotent: prefix != prefixBook && pool != poolMinds, Stream: pool == poolMinds, Resumable: prefix == prefixTale,
			Timeout: routeTimeout, Objective: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, MaxAttempts: 3,
			Homes: g.homes[prefix],
		})
	}
	for i := range workspaceCount {
		w := state.Workspace{Name: workspaceName(i), Homes: g.homes[workspaceName(i)]}
		for _, k := range o.validKeys() {
			if k.workspace == w.Name && k != revoked {
				w.Keys = append(w.Keys, k.value)
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
		o.versions = append(o.versions, modelVersion{number: n, storedAt: at})
	}
	return err
}

const (
	// quietTime is the time before the store goes away in which the operator writes nothing, so
	// that readers have seen what it wrote.
	quietTime = 300 * time.Millisecond
	// rewriteDelay is the time from the return of the store until the operator writes again.
	rewriteDelay = time.Second
)

// restoreStore takes the store away, returns it to its copy, and publishes again what was lost.
func (o *operator) restoreStore(restore func()) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	time.Sleep(quietTime)
	restore()
	time.Sleep(rewriteDelay)
	last := o.generations[len(o.generations)-1]
	if _, err := o.world.store.PublishConfig(o.buildConfig(last, nil)); err != nil {
		o.world.checker.recordViolation("bench", "%v", err)
	}
	if _, err := o.world.store.PublishRelease(state.Release{Model: modelName, Version: len(o.versions)}); err != nil {
		o.world.checker.recordViolation("bench", "%v", err)
	}
}

func (o *operator) recordDrain(id string, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.drains[id] = at
}

func (o *operator) drainedAt(id string) (time.Time, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	at, ok := o.drains[id]
	return at, ok
}

// pickKey returns the n-th key ever granted, modulo their number; it may be revoked.
func (o *operator) pickKey(n int) apiKey {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return *o.keys[n%len(o.keys)]
}

// keyOf returns the current state of the key with the given value.
func (o *operator) keyOf(value string) apiKey {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	i := slices.IndexFunc(o.keys, func(k *apiKey) bool { return k.value == value })
	return *o.keys[i]
}

// newestGeneration returns the number of the last configuration.
func (o *operator) newestGeneration() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.generations)
}

// history returns all configurations and versions published so far.
func (o *operator) history() ([]generation, []modelVersion) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Clone(o.generations), slices.Clone(o.versions)
}
