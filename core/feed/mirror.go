package feed

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/state"
)

// maxGone bounds the rows that are remembered as gone.
const maxGone = 4096

// ErrDiverged tells that the copy differs from that of its source, so that all rows
// are needed.
var ErrDiverged = errors.New("the copy differs from that of its source")

// Change is what an update has done to a copy.
type Change struct {
	From, To state.Revision
	// Rows is the number of rows that differ from before.
	Rows int
	// RowErrors are rows that could not be read.
	RowErrors []state.RowError
}

// Mirror is the copy of one process. Goroutines share it.
type Mirror struct {
	snapshot atomic.Pointer[state.Snapshot]
	// proven is when the copy was the newest for certain. It never goes back.
	proven atomic.Pointer[time.Time]
	// contact is when the platform answered last. It never goes back.
	contact atomic.Pointer[time.Time]

	mutex sync.Mutex
	// rows holds those that are gone with a nil value, at most maxGone of them.
	rows map[string]state.Row
	gone int
	// floor is the least revision since which all changes are known.
	floor   state.Revision
	head    state.Revision
	sum     uint64
	builder state.Builder
	// changed is closed and replaced when rows or the proof change.
	changed chan struct{}
}

// NewMirror returns a copy without rows.
func NewMirror() *Mirror {
	m := &Mirror{rows: make(map[string]state.Row), changed: make(chan struct{})}
	m.snapshot.Store(&state.Snapshot{})
	return m
}

// Snapshot returns the state in force.
func (m *Mirror) Snapshot() *state.Snapshot { return m.snapshot.Load() }

// Staleness returns for how long the copy hasn't been proven to be the newest. It is
// false if it never was.
func (m *Mirror) Staleness() (time.Duration, bool) {
	p := m.proven.Load()
	if p == nil {
		return 0, false
	}
	return clocks.Since(*p), true
}

// ConfirmedAt returns when the copy was last the newest for certain, or zero.
func (m *Mirror) ConfirmedAt() time.Time {
	if p := m.proven.Load(); p != nil {
		return *p
	}
	return time.Time{}
}

// LastContact returns when the platform answered last whoever the copy comes from, or
// zero.
func (m *Mirror) LastContact() time.Time {
	if c := m.contact.Load(); c != nil {
		return *c
	}
	return time.Time{}
}

// Head returns the revision of the copy.
func (m *Mirror) Head() state.Revision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.head
}

// Changed returns a channel that is closed at the next change of rows or proof.
func (m *Mirror) Changed() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.changed
}

// Apply applies an update unless the copy is newer. The error is ErrDiverged if the
// copy differs from the source's afterwards.
func (m *Mirror) Apply(u Update) (Change, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := Change{From: m.head, To: m.head}
	if u.Head < m.head {
		return c, nil
	}
	rows := m.differing(u)
	if u.Full {
		// Whoever pulls from here may have any copy from before, so that the rows
		// count as changed now.
		for i := range rows {
			rows[i].Revision = u.Head
		}
	}
	if m.head == 0 {
		m.floor = u.Head
	}
	var snapshot *state.Snapshot
	if len(rows) > 0 || u.Head > m.head {
		for _, r := range rows {
			m.put(r)
		}
		m.head = u.Head
		snapshot, c.RowErrors = m.builder.Apply(u.Head, rows)
		m.snapshot.Store(snapshot)
	}
	m.prune()
	c.To, c.Rows = m.head, len(rows)
	if u.HasChecksum && u.Checksum != m.sum {
		return c, ErrDiverged
	}
	if u.LastContact.After(m.LastContact()) {
		m.contact.Store(&u.LastContact)
	}
	if !u.ConfirmedAt.IsZero() && u.ConfirmedAt.After(m.ConfirmedAt()) {
		m.proven.Store(&u.ConfirmedAt)
	} else if c.Rows == 0 {
		return c, nil
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return c, nil
}

// differing returns the rows of an update that the copy lacks, and those that it
// holds beyond a full update as gone.
func (m *Mirror) differing(u Update) []state.Row {
	var rows []state.Row
	named := make(map[string]bool, len(u.Rows))
	for _, r := range u.Rows {
		named[r.Key] = true
		if known, ok := m.rows[r.Key]; ok && (known.Value == nil) == (r.Value == nil) && bytes.Equal(known.Value, r.Value) {
			continue
		}
		rows = append(rows, r)
	}
	if !u.Full {
		return rows
	}
	for key, known := range m.rows {
		if !named[key] && known.Value != nil {
			rows = append(rows, state.Row{Key: key, Revision: u.Head})
		}
	}
	return rows
}

func (m *Mirror) put(r state.Row) {
	known, ok := m.rows[r.Key]
	m.sum += sumOf(r) - sumOf(known)
	if ok && known.Value == nil {
		m.gone--
	}
	if r.Value == nil {
		m.gone++
	}
	m.rows[r.Key] = r
}

// prune forgets the rows that have been gone for longest. Callers from before then
// get all rows.
func (m *Mirror) prune() {
	if m.gone <= maxGone {
		return
	}
	var gone []state.Row
	for _, r := range m.rows {
		if r.Value == nil {
			gone = append(gone, r)
		}
	}
	slices.SortFunc(gone, func(a, b state.Row) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, r := range gone[:len(gone)/2] {
		delete(m.rows, r.Key)
		m.floor = max(m.floor, r.Revision)
		m.gone--
	}
}

// UpdateSince returns the update for a process whose copy has the revision. It is false
// if the process itself has the newer copy.
func (m *Mirror) UpdateSince(after state.Revision, scope Scope) (Update, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.head == 0 || after > m.head {
		return Update{}, false
	}
	u := Update{Head: m.head, Full: after < m.floor || after == 0, Checksum: m.sum, HasChecksum: true, ConfirmedAt: m.ConfirmedAt(), LastContact: m.LastContact()}
	if len(scope) > 0 {
		u.Checksum = 0
	}
	for _, r := range m.rows {
		if !scope.Contains(r.Key) {
			continue
		}
		if len(scope) > 0 {
			u.Checksum += sumOf(r)
		}
		if u.Full && r.Value != nil || !u.Full && r.Revision > after {
			u.Rows = append(u.Rows, r)
		}
	}
	return u, true
}
