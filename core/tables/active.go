package tables

import (
	"sync"
	"sync/atomic"
	"time"
)

// Tables is an immutable snapshot of both tables in force.
type Tables struct {
	Routes Table[Route]
	Pools  Table[Pool]
}

// Join returns the route with the given name and its pool. The pool is absent
// while no pools table in force holds it.
func (t *Tables) Join(route string) (Route, Pool, JoinResult) {
	r, ok := t.Routes.Rows[route]
	if !ok {
		return Route{}, Pool{}, JoinNoRoute
	}
	p, ok := t.Pools.Rows[r.Pool]
	if !ok {
		return r, Pool{}, JoinNoPool
	}
	return r, p, JoinFound
}

// JoinResult tells how far a look-up of a route came.
type JoinResult int

// The results of a join.
const (
	JoinFound JoinResult = iota
	JoinNoRoute
	JoinNoPool
)

// Active holds the tables in force of one process. The zero value holds empty
// tables. Goroutines share it; readers never wait.
type Active struct {
	// mutex is held while a revision comes into force, so that two tables that
	// change at once don't undo each other.
	mutex sync.Mutex
	// current never goes back to an older revision of either table.
	current atomic.Pointer[Tables]
	// confirmed is when Confirm was called last, in nanoseconds of Unix time.
	confirmed atomic.Int64
}

// Snapshot returns the tables in force.
func (f *Active) Snapshot() *Tables {
	if t := f.current.Load(); t != nil {
		return t
	}
	return &Tables{}
}

// Apply decodes a value and brings it into force if it is newer than the
// revision in force. It reports whether the tables changed. An invalid value
// gives a RefusedError and changes nothing.
func (f *Active) Apply(kind Kind, v Value) (bool, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := *f.Snapshot()
	if v.Revision <= next.revision(kind) {
		return false, nil
	}
	if err := next.replace(kind, v); err != nil {
		return false, err
	}
	f.current.Store(&next)
	return true, nil
}

// Confirm records that another process that was asked at the given time holds no
// newer revisions.
func (f *Active) Confirm(asked time.Time) { f.confirmed.Store(asked.UnixNano()) }

// ConfirmedAt returns when another process last held no newer revisions.
func (f *Active) ConfirmedAt() time.Time { return time.Unix(0, f.confirmed.Load()) }

// SetRoutes brings a valid table into force if it is newer. The table must not
// be changed afterwards.
func (f *Active) SetRoutes(t Table[Route]) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := *f.Snapshot()
	if t.Revision > next.Routes.Revision {
		next.Routes = t
		f.current.Store(&next)
	}
}

// SetPools brings a valid table into force if it is newer. The table must not be
// changed afterwards.
func (f *Active) SetPools(t Table[Pool]) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := *f.Snapshot()
	if t.Revision > next.Pools.Revision {
		next.Pools = t
		f.current.Store(&next)
	}
}

// Revision returns the revision of a table in force.
func (f *Active) Revision(kind Kind) Revision { return f.Snapshot().revision(kind) }

func (t *Tables) revision(kind Kind) Revision {
	if kind == KindRoutes {
		return t.Routes.Revision
	}
	return t.Pools.Revision
}

func (t *Tables) replace(kind Kind, v Value) error {
	var faults []RowError
	if kind == KindRoutes {
		var rows []Route
		rows, faults = DecodeRoutes(v.Data)
		t.Routes = tableOf(v.Revision, rows)
	} else {
		var rows []Pool
		rows, faults = DecodePools(v.Data)
		t.Pools = tableOf(v.Revision, rows)
	}
	if len(faults) > 0 {
		return &RefusedError{Table: kind, Revision: v.Revision, RowErrors: faults}
	}
	return nil
}

func tableOf[R Row](revision Revision, rows []R) Table[R] {
	t := Table[R]{Revision: revision, Rows: make(map[string]R, len(rows))}
	for _, r := range rows {
		t.Rows[r.RowName()] = r
	}
	return t
}
