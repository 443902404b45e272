package dedup

import (
	"slices"
	"time"

	"currantport.example/core/calls"
	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

// Claims decides whether a process may start opaque keys. It isn't safe for
// concurrent use.
//
// A process claims the keys of a route under one row of it. Every process that
// may have been an owner, which is every agent that the platform lists, answers
// the claim: it hands over the keys that it remembers and starts no key of the
// route under another row until it has claimed anew. A claim holds once each has
// answered or is off the list.
//
// What a lost memory held can't be handed over. A key that may be older than
// the last loss isn't started: a timeless key until Resend has passed, a key
// that holds its time for good.
type Claims struct {
	self   Owner
	bounds Bounds
	// lost is when the process started: what ran at its host before isn't known.
	lost time.Time
	// routes holds a claim for each route that the process has heard of.
	routes map[string]*claim
}

// Bounds are what callers and the platform promise.
type Bounds struct {
	// RetryWindow is how long after its first sending a timeless key is resent.
	RetryWindow time.Duration
	// MaxClockSkew bounds the difference between the clocks of two hosts of the system.
	MaxClockSkew time.Duration
	// MaxListLag bounds how far the platform's list of hosts lags.
	MaxListLag time.Duration
	// KeyTTL is how long a key is remembered.
	KeyTTL time.Duration
}

// DefaultBounds returns the bounds of an agent but for those that operators set.
func DefaultBounds() Bounds { return Bounds{KeyTTL: defaultLifetime} }

// RowRevision orders the rows of a route.
type RowRevision struct {
	Routes tables.Revision
	Pools  tables.Revision
}

// Less reports whether the order is older. The table of routes counts first;
// any total order will do.
func (o RowRevision) Less(other RowRevision) bool {
	if o.Routes != other.Routes {
		return o.Routes < other.Routes
	}
	return o.Pools < other.Pools
}

// Row says which hosts may run the requests of a route.
type Row struct {
	Revision RowRevision
	// Hosts is in the order of the table.
	Hosts []hosts.Name
}

type claim struct {
	row Row
	// floor is the newest row that another process has claimed.
	floor RowRevision
	// lost is when a memory that may have held keys of the route was last lost.
	lost time.Time
	// round counts the revocations. An answer to a claim of an earlier round
	// doesn't count.
	round uint64
	// answered holds the hosts that have answered in this round.
	answered map[hosts.Name]bool
	// held tells that every host has answered in this round.
	held bool
	// owners holds the hosts that may have started keys of the route since the
	// process started: those of its rows, those that claimed, and those that
	// have not answered any claim yet.
	owners map[hosts.Name]bool
	// cleared holds the hosts that have answered a claim.
	cleared map[hosts.Name]bool
}

// NewClaims returns the claims of a process that starts now.
func NewClaims(now time.Time, self Owner, b Bounds) *Claims {
	return &Claims{self: self, bounds: b, lost: now, routes: make(map[string]*claim)}
}

// Update takes the row of a route into force. Rows never go back.
func (c *Claims) Update(route string, row Row) {
	p := c.claim(route)
	if row.Revision.Less(p.row.Revision) {
		return
	}
	if !slices.Equal(row.Hosts, p.row.Hosts) {
		p.revoke()
		p.suspect(p.row.Hosts...)
		p.suspect(row.Hosts...)
	}
	p.row = row
}

// Claim is what a process asks of another.
type Claim struct {
	Host  hosts.Name
	Route string
	Row   Row
	// round is that of the claim at the process that makes it.
	round uint64
}

// Yield answers the claim of another process. It reports false if the claim is
// older than the row in force here, and may not hold.
func (c *Claims) Yield(k Claim) bool {
	p := c.claim(k.Route)
	equal := slices.Equal(p.row.Hosts, k.Row.Hosts)
	if k.Row.Revision.Less(p.floor) || k.Row.Revision.Less(p.row.Revision) && !equal {
		return false
	}
	p.suspect(k.Host)
	if !equal {
		p.floor = k.Row.Revision
		p.revoke()
	}
	return true
}

// Pending returns the claim on a route that isn't held yet and the hosts that have
// not answered it, of those given.
func (c *Claims) Pending(route string, listed []hosts.Name) (Claim, []hosts.Name) {
	p := c.claim(route)
	k := Claim{Host: c.self.Host, Route: route, Row: p.row, round: p.round}
	if p.held || p.row.Revision.Less(p.floor) || !slices.Contains(p.row.Hosts, c.self.Host) {
		return k, nil
	}
	var missing []hosts.Name
	for _, h := range listed {
		if h == c.self.Host || p.answered[h] {
			continue
		}
		missing = append(missing, h)
		if !p.cleared[h] {
			p.suspect(h)
		}
	}
	return k, missing
}

// RecordGrant records that a host has answered a claim. Its memory reaches back to
// since. It reports false if the claim has been revoked in the meantime.
func (c *Claims) RecordGrant(k Claim, host hosts.Name, since time.Time) bool {
	p := c.claim(k.Route)
	if k.round != p.round {
		return false
	}
	p.answered[host] = true
	p.cleared[host] = true
	if p.owners[host] && since.After(p.lost) {
		p.lost = since
	}
	if !slices.Contains(p.row.Hosts, host) {
		delete(p.owners, host)
	}
	return true
}

// hold makes a claim hold if all listed hosts have answered, and reports
// whether it began to hold. The list must be younger than the process and hold
// its host, so that of two owners at least one knows the other.
func (c *Claims) hold(now time.Time, route string, listed []hosts.Name) bool {
	p := c.claim(route)
	_, missing := c.Pending(route, listed)
	if now.Before(c.lost.Add(c.bounds.MaxListLag)) || p.held || len(missing) > 0 || p.row.Revision.Less(p.floor) || !slices.Contains(listed, c.self.Host) {
		return false
	}
	p.held = slices.Contains(p.row.Hosts, c.self.Host)
	p.lose(now, listed)
	return p.held
}

// PendingRoutes returns the routes whose rows hold the host and whose claim doesn't hold.
func (c *Claims) PendingRoutes() []string {
	var all []string
	for name, p := range c.routes {
		if !p.held && slices.Contains(p.row.Hosts, c.self.Host) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// Check returns nil if the process may start an opaque key that it doesn't
// remember. If another host owns the key it is returned.
func (c *Claims) Check(now time.Time, name ScopedKey) (Owner, *calls.Refusal) {
	p := c.claim(name.Route)
	if len(p.row.Hosts) == 0 {
		return Owner{}, calls.Unknown(calls.ReasonStarting, retryWait, "the owner has no row of the route yet")
	}
	if o := OwnerOf(name.Value, p.row.Hosts); o.Host != c.self.Host {
		return o, calls.Unknown(calls.ReasonOwner, retryWait, "another host owns the key")
	}
	if !p.held || p.row.Revision.Less(p.floor) {
		return Owner{}, calls.Unknown(calls.ReasonOwner, retryWait, "the owner waits for earlier owners of the keys")
	}
	return Owner{}, c.checkTime(now, p, name.Value)
}

// checkTime refuses a key that may have run in a memory that is lost.
func (c *Claims) checkTime(now time.Time, p *claim, key calls.Key) *calls.Refusal {
	lost := p.lost
	if c.lost.After(lost) {
		lost = c.lost
	}
	made, timed := TimestampOf(key)
	switch {
	case timed && made.After(now.Add(c.bounds.MaxClockSkew)):
		return calls.Unknown(calls.ReasonBadRequest, c.bounds.MaxClockSkew, "the time in the key lies in the future")
	case timed && made.Before(now.Add(c.bounds.MaxClockSkew-c.bounds.KeyTTL)):
		return calls.Unknown(calls.ReasonLost, 0, "the key is older than the memory of its owner")
	case timed && made.After(lost.Add(2*c.bounds.MaxClockSkew)):
		return nil
	}
	if wait := lost.Add(c.bounds.RetryWindow).Sub(now); wait > 0 {
		return calls.Unknown(calls.ReasonStarting, wait, "the owner may have lost the memory of the key")
	}
	if timed {
		return calls.Unknown(calls.ReasonLost, 0, "the owner may have lost the memory of the key")
	}
	return nil
}

func (c *Claims) claim(name string) *claim {
	p := c.routes[name]
	if p == nil {
		p = &claim{
			answered: make(map[hosts.Name]bool), owners: make(map[hosts.Name]bool), cleared: make(map[hosts.Name]bool),
		}
		c.routes[name] = p
	}
	return p
}

// lose notes the loss of the memories of owners that are off the list.
func (p *claim) lose(now time.Time, listed []hosts.Name) {
	for h := range p.owners {
		if !slices.Contains(listed, h) {
			p.lost = now
			delete(p.owners, h)
			delete(p.cleared, h)
		}
	}
}

func (p *claim) suspect(all ...hosts.Name) {
	for _, h := range all {
		p.owners[h] = true
	}
}

func (p *claim) revoke() {
	p.held = false
	p.round++
	p.answered = make(map[hosts.Name]bool)
}
