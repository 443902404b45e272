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
// A process claims the keys of a route for one row of the route. Every process that
// may have owned keys of the route, which is every agent that the platform lists,
// has to grant the claim: it hands over the keys that it remembers and starts no
// key of the route under another row until it has made a new claim itself. A claim
// becomes active once each listed agent has granted it.
//
// Keys that were known only to a process that has ended can't be handed over. So a
// key that may be older than the last such loss isn't started: a key without a
// timestamp not until Bounds.RetryWindow has passed, a key with a timestamp never.
type Claims struct {
	self   Owner
	bounds Bounds
	// start is when the process started. What ran at its host before is unknown.
	start time.Time
	// routes holds the claim on each route that the process knows of.
	routes map[string]*routeClaim
}

// Bounds are the limits that clients and the platform keep to.
type Bounds struct {
	// RetryWindow is how long clients retry a key without a timestamp, counted from
	// the first time they send it.
	RetryWindow time.Duration
	// MaxClockSkew bounds the difference between the clocks of two hosts of the
	// system.
	MaxClockSkew time.Duration
	// MaxListLag bounds the staleness of the list of hosts.
	MaxListLag time.Duration
	// KeyTTL is how long a key is remembered.
	KeyTTL time.Duration
}

// DefaultBounds returns the bounds of an agent. RetryWindow, MaxClockSkew and
// MaxListLag are zero: operators set them.
func DefaultBounds() Bounds { return Bounds{KeyTTL: defaultKeyTTL} }

// RowRevision orders the rows of a route. It consists of the revisions of both
// tables that a row is made from.
type RowRevision struct {
	Routes tables.Revision
	Pools  tables.Revision
}

// Less reports whether o is older than other. The routes table is compared first;
// any total order would do.
func (r RowRevision) Less(other RowRevision) bool {
	if r.Routes != other.Routes {
		return r.Routes < other.Routes
	}
	return r.Pools < other.Pools
}

// Row lists the hosts that may run the requests of a route.
type Row struct {
	Revision RowRevision
	// Hosts is in the order of the table.
	Hosts []hosts.Name
}

type routeClaim struct {
	row Row
	// maxClaimed is the newest row that another process has claimed.
	maxClaimed RowRevision
	// lastLoss is when keys of the route may last have been lost with a process.
	lastLoss time.Time
	// round counts the revocations. Grants of an earlier round don't count.
	round uint64
	// granted holds the hosts that have granted the claim in this round.
	granted map[hosts.Name]bool
	// active is set once every listed host has granted the claim in this round.
	active bool
	// possibleOwners holds the hosts that may have started keys of the route since
	// this process started: those of its rows, those that claimed the route, and
	// those that have never granted a claim.
	possibleOwners map[hosts.Name]bool
	// everGranted holds the hosts that have granted a claim in any round.
	everGranted map[hosts.Name]bool
}

// NewClaims returns the claims of a process that starts now.
func NewClaims(now time.Time, self Owner, b Bounds) *Claims {
	return &Claims{self: self, bounds: b, start: now, routes: make(map[string]*routeClaim)}
}

// Update makes a row the active one of its route. Older rows are ignored.
func (c *Claims) Update(route string, row Row) {
	r := c.forRoute(route)
	if row.Revision.Less(r.row.Revision) {
		return
	}
	if !slices.Equal(row.Hosts, r.row.Hosts) {
		r.revoke()
		r.addPossibleOwners(r.row.Hosts...)
		r.addPossibleOwners(row.Hosts...)
	}
	r.row = row
}

// Claim is a request to another process to hand over the keys of a route.
type Claim struct {
	Host  hosts.Name
	Route string
	Row   Row
	// round is that of the claim at the process that makes it.
	round uint64
}

// Yield handles the claim of another process and reports whether it is granted. It
// refuses a claim that is older than an earlier one, or older than the active row
// and for other hosts.
func (c *Claims) Yield(k Claim) bool {
	r := c.forRoute(k.Route)
	equal := slices.Equal(r.row.Hosts, k.Row.Hosts)
	if k.Row.Revision.Less(r.maxClaimed) || k.Row.Revision.Less(r.row.Revision) && !equal {
		return false
	}
	r.addPossibleOwners(k.Host)
	if !equal {
		r.maxClaimed = k.Row.Revision
		r.revoke()
	}
	return true
}

// Pending returns the claim on a route and which of the listed hosts have yet to
// grant it. There are none if the claim is active or can't become active.
func (c *Claims) Pending(route string, listed []hosts.Name) (Claim, []hosts.Name) {
	r := c.forRoute(route)
	k := Claim{Host: c.self.Host, Route: route, Row: r.row, round: r.round}
	if r.active || r.row.Revision.Less(r.maxClaimed) || !slices.Contains(r.row.Hosts, c.self.Host) {
		return k, nil
	}
	var missing []hosts.Name
	for _, h := range listed {
		if h == c.self.Host || r.granted[h] {
			continue
		}
		missing = append(missing, h)
		if !r.everGranted[h] {
			r.addPossibleOwners(h)
		}
	}
	return k, missing
}

// RecordGrant records that a host has granted a claim and has remembered its keys
// since the given time. It reports false if the claim has been revoked in the
// meantime.
func (c *Claims) RecordGrant(k Claim, host hosts.Name, since time.Time) bool {
	r := c.forRoute(k.Route)
	if k.round != r.round {
		return false
	}
	r.granted[host] = true
	r.everGranted[host] = true
	if r.possibleOwners[host] && since.After(r.lastLoss) {
		r.lastLoss = since
	}
	if !slices.Contains(r.row.Hosts, host) {
		delete(r.possibleOwners, host)
	}
	return true
}

// activate makes a claim active if all listed hosts have granted it, and reports
// whether it became active. It waits for MaxListLag after the start, so that the
// list is younger than the process, and requires the list to contain this host:
// of two owners, at least one then knows the other.
func (c *Claims) activate(now time.Time, route string, listed []hosts.Name) bool {
	r := c.forRoute(route)
	_, missing := c.Pending(route, listed)
	if now.Before(c.start.Add(c.bounds.MaxListLag)) || r.active || len(missing) > 0 || r.row.Revision.Less(r.maxClaimed) || !slices.Contains(listed, c.self.Host) {
		return false
	}
	r.active = slices.Contains(r.row.Hosts, c.self.Host)
	r.recordLosses(now, listed)
	return r.active
}

// PendingRoutes returns, in order of name, the routes that the host may run and on
// which its claim isn't active.
func (c *Claims) PendingRoutes() []string {
	var all []string
	for name, r := range c.routes {
		if !r.active && slices.Contains(r.row.Hosts, c.self.Host) {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// Check returns nil if the process may start an opaque key that it doesn't
// remember. The owner is set if another host owns the key.
func (c *Claims) Check(now time.Time, key ScopedKey) (Owner, *calls.Refusal) {
	r := c.forRoute(key.Route)
	if len(r.row.Hosts) == 0 {
		return Owner{}, calls.Unknown(calls.ReasonStarting, retryAfter, "the owner has no row of the route yet")
	}
	if o := OwnerOf(key.Value, r.row.Hosts); o.Host != c.self.Host {
		return o, calls.Unknown(calls.ReasonOwner, retryAfter, "another host owns the key")
	}
	if !r.active || r.row.Revision.Less(r.maxClaimed) {
		return Owner{}, calls.Unknown(calls.ReasonOwner, retryAfter, "the owner waits for earlier owners of the keys")
	}
	return Owner{}, c.checkAge(now, r, key.Value)
}

// checkAge refuses a key that may have run at a process whose keys are lost.
func (c *Claims) checkAge(now time.Time, r *routeClaim, key calls.Key) *calls.Refusal {
	lost := r.lastLoss
	if c.start.After(lost) {
		lost = c.start
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

func (c *Claims) forRoute(name string) *routeClaim {
	r := c.routes[name]
	if r == nil {
		r = &routeClaim{
			granted: make(map[hosts.Name]bool), possibleOwners: make(map[hosts.Name]bool), everGranted: make(map[hosts.Name]bool),
		}
		c.routes[name] = r
	}
	return r
}

// recordLosses records that the keys of possible owners that are no longer listed
// are lost.
func (r *routeClaim) recordLosses(now time.Time, listed []hosts.Name) {
	for h := range r.possibleOwners {
		if !slices.Contains(listed, h) {
			r.lastLoss = now
			delete(r.possibleOwners, h)
			delete(r.everGranted, h)
		}
	}
}

func (r *routeClaim) addPossibleOwners(all ...hosts.Name) {
	for _, h := range all {
		r.possibleOwners[h] = true
	}
}

func (r *routeClaim) revoke() {
	r.active = false
	r.round++
	r.granted = make(map[hosts.Name]bool)
}
