package tables

import (
	"sync"
	"sync/atomic"
	"time"
)

// Tables is an immutable snapshot of both active tables.
type Tables struct {
	Routes Table[Route]
	Pools  Table[Pool]
}

// Join returns the route with the given name and its pool. What the result says is
// missing is returned as the zero value.
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

// JoinResult says which rows Join found.
type JoinResult int

// The results of Join.
const (
	JoinFound JoinResult = iota
	// JoinNoRoute means that the routes table doesn't hold the route.
	JoinNoRoute
	// JoinNoPool means that the pools table doesn't hold the route's pool.
	JoinNoPool
)

// Active holds the active tables of one process. The zero value holds empty tables.
// It is safe for concurrent use; readers never block.
type Active struct {
	// mutex serializes updates, so that concurrent updates of the two tables don't
	// overwrite each other.
	mutex sync.Mutex
	// current never returns to an older revision of either table.
	current atomic.Pointer[Tables]
	// confirmed is the time given to the last Confirm, in nanoseconds of Unix time.
	confirmed atomic.Int64
}

// Snapshot returns the active tables.
func (a *Active) Snapshot() *Tables {
	if t := a.current.Load(); t != nil {
		return t
	}
	return &Tables{}
}

// Apply decodes a value and activates it if it is newer than the active revision.
// It reports whether the tables changed. An invalid value returns a RefusedError
// and changes nothing.
func (a *Active) Apply(kind Kind, v Value) (bool, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	next := *a.Snapshot()
	if v.Revision <= next.revision(kind) {
		return false, nil
	}
	if err := next.setTable(kind, v); err != nil {
		return false, err
	}
	a.current.Store(&next)
	return true, nil
}

// Confirm records that another process holds no newer revisions. The time is that
// of sending the request to it.
func (a *Active) Confirm(sentAt time.Time) { a.confirmed.Store(sentAt.UnixNano()) }

// ConfirmedAt returns the time given to the last Confirm, or the Unix epoch before
// the first.
func (a *Active) ConfirmedAt() time.Time { return time.Unix(0, a.confirmed.Load()) }

// SetRoutes activates a valid table if it is newer than the active one. The table
// must not be modified afterwards.
func (a *Active) SetRoutes(t Table[Route]) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	next := *a.Snapshot()
	if t.Revision > next.Routes.Revision {
		next.Routes = t
		a.current.Store(&next)
	}
}

// SetPools activates a valid table if it is newer than the active one. The table
// must not be modified afterwards.
func (a *Active) SetPools(t Table[Pool]) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	next := *a.Snapshot()
	if t.Revision > next.Pools.Revision {
		next.Pools = t
		a.current.Store(&next)
	}
}

// Revision returns the active revision of a table.
func (a *Active) Revision(kind Kind) Revision { return a.Snapshot().revision(kind) }

func (t *Tables) revision(kind Kind) Revision {
	if kind == KindRoutes {
		return t.Routes.Revision
	}
	return t.Pools.Revision
}

func (t *Tables) setTable(kind Kind, v Value) error {
	var rowErrors []RowError
	if kind == KindRoutes {
		var rows []Route
		rows, rowErrors = DecodeRoutes(v.Data)
		t.Routes = newTable(v.Revision, rows)
	} else {
		var rows []Pool
		rows, rowErrors = DecodePools(v.Data)
		t.Pools = newTable(v.Revision, rows)
	}
	if len(rowErrors) > 0 {
		return &RefusedError{Table: kind, Revision: v.Revision, RowErrors: rowErrors}
	}
	return nil
}

func newTable[R Row](revision Revision, rows []R) Table[R] {
	t := Table[R]{Revision: revision, Rows: make(map[string]R, len(rows))}
	for _, r := range rows {
		t.Rows[r.RowName()] = r
	}
	return t
}
