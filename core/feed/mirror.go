package feed

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/state"
)

// maxTombstones bounds the deleted rows that are remembered.
const maxTombstones = 4096

// ErrDiverged means that the replica differs from its source, so all rows are needed.
var ErrDiverged = errors.New("the replica differs from its source")

// Change is the effect of an update on a replica.
type Change struct {
	From, To state.Revision
	// Rows is the number of changed rows.
	Rows int
	// Retained is the number of rows of earlier eras that are active.
	Retained int
	// RowErrors are the rows that were invalid.
	RowErrors []state.RowError
}

// activeSnapshot is the current state and when it became active.
type activeSnapshot struct {
	snapshot *state.Snapshot
	since    time.Time
}

// Mirror is the replica of one process. It is safe for concurrent use.
type Mirror struct {
	active atomic.Pointer[activeSnapshot]
	// confirmedAt is when the replica was last confirmed to be current. It never
	// decreases.
	confirmedAt atomic.Pointer[time.Time]
	// lastContact is when the platform last responded. It never decreases.
	lastContact atomic.Pointer[time.Time]

	mutex sync.Mutex
	// rows includes deleted rows with a nil value, at most maxTombstones of them.
	rows       map[string]state.Row
	tombstones int
	// historyStart is the oldest revision since which all changes are known.
	historyStart state.Revision
	head         state.Revision
	checksum     uint64
	// completeAt is a time at which the replica held all that had been published, in the era that
	// it was confirmed for. Unlike confirmedAt it outlasts eras. It is zero until the replica is
	// confirmed.
	completeAt time.Time
	// formerCompleteAt is completeAt as it was when the era began. The replica may lack later
	// rows of former eras, which the store has lost.
	formerCompleteAt time.Time
	// retention holds rows of earlier eras. The others count as the platform's rows: rows and
	// checksum don't include them.
	retention retention
	builder   state.Builder
	// changed is closed and replaced when rows or the confirmation change.
	changed chan struct{}
}

// NewMirror returns an empty replica.
func NewMirror() *Mirror {
	m := &Mirror{rows: make(map[string]state.Row), retention: newRetention(), changed: make(chan struct{})}
	m.active.Store(&activeSnapshot{snapshot: &state.Snapshot{}, since: clocks.Now()})
	return m
}

// Snapshot returns the current state.
func (m *Mirror) Snapshot() *state.Snapshot { return m.active.Load().snapshot }

// ActiveSnapshot returns the current state and when it became active in this process.
func (m *Mirror) ActiveSnapshot() (*state.Snapshot, time.Time) {
	a := m.active.Load()
	return a.snapshot, a.since
}

// Staleness returns the time since the replica was last confirmed to be current. The
// second result is false if it never was.
func (m *Mirror) Staleness() (time.Duration, bool) {
	p := m.confirmedAt.Load()
	if p == nil {
		return 0, false
	}
	return clocks.Since(*p), true
}

// ConfirmedAt returns when the replica was last confirmed to be current, or zero.
func (m *Mirror) ConfirmedAt() time.Time {
	if p := m.confirmedAt.Load(); p != nil {
		return *p
	}
	return time.Time{}
}

// LastContact returns when the platform last responded to this process or to one that
// relayed an update, or zero.
func (m *Mirror) LastContact() time.Time {
	if c := m.lastContact.Load(); c != nil {
		return *c
	}
	return time.Time{}
}

// Head returns the revision of the replica.
func (m *Mirror) Head() state.Revision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.head
}

// Changed returns a channel that is closed at the next change of rows or confirmation.
func (m *Mirror) Changed() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.changed
}

// Apply applies an update unless the replica is newer. The error is ErrDiverged if the
// replica differs from its source afterwards, or if the update begins an era without all rows.
func (m *Mirror) Apply(u Update) (Change, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	c := Change{From: m.head, To: m.head}
	if u.Head < m.head {
		return c, nil
	}
	beginsEra := m.head != 0 && u.Head.Era() > m.head.Era()
	if beginsEra && !u.Full {
		return c, ErrDiverged
	}
	now := clocks.Now()
	rows := m.changedRows(u)
	if u.Full {
		// Processes that pull from this mirror may have any older replica, so the rows
		// count as changed at this revision.
		for i := range rows {
			rows[i].Revision = u.Head
		}
	}
	if m.head == 0 {
		m.historyStart = u.Head
	}
	var touched []string
	if beginsEra {
		touched = m.beginEra(now, u)
	}
	touched = append(touched, m.putRows(now, rows, u.Retained)...)
	if len(touched) > 0 || u.Head > m.head {
		m.head = u.Head
		c.RowErrors = m.publish(touched)
	}
	m.pruneTombstones()
	c.To, c.Rows, c.Retained = m.head, len(touched), len(m.retention.rows)
	if u.HasChecksum && u.Checksum != m.checksum {
		return c, ErrDiverged
	}
	m.confirm(u, c.Rows > 0)
	return c, nil
}

// confirm records how current the replica is, and notifies waiting pulls of that and of changes.
func (m *Mirror) confirm(u Update, changed bool) {
	if u.LastContact.After(m.LastContact()) {
		m.lastContact.Store(&u.LastContact)
	}
	if !u.ConfirmedAt.IsZero() && u.ConfirmedAt.After(m.ConfirmedAt()) {
		m.confirmedAt.Store(&u.ConfirmedAt)
		m.completeAt = u.ConfirmedAt
	} else if !changed {
		return
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// putRows changes rows of the platform, adopts rows that the source retains, and releases those
// that the platform's rows supersede. It returns the keys of the rows that may have changed.
func (m *Mirror) putRows(now time.Time, rows []state.Row, retained []RetainedRow) []string {
	touched := make([]string, 0, len(rows))
	for _, r := range rows {
		known := m.rows[r.Key]
		if r.Value == nil && known.Value != nil {
			m.retention.recordDeparture(known)
		}
		r.NotBefore = m.notBefore(m.completeAt, r)
		m.putRow(r)
		touched = append(touched, r.Key)
	}
	for i := range retained {
		retained[i].Row.NotBefore = m.retainedNotBefore(retained[i].Row)
	}
	touched = append(touched, m.retention.adopt(now, retained, m.rows)...)
	return append(touched, m.retention.release(now, m.rows)...)
}

// notBefore returns the earliest time at which a release may have been published that replaces
// the active row: after this replica was last complete, or what its source knows.
func (m *Mirror) notBefore(completeAt time.Time, r state.Row) time.Time {
	if r.Value == nil || !state.IsRelease(r.Key) {
		return time.Time{}
	}
	active := m.retention.active(r.Key, m.rows)
	if completeAt.IsZero() {
		return firstNotBefore(active, r)
	}
	switch versionOf(r) {
	case versionOf(active):
		// A restored store has it published again.
		return active.NotBefore
	case max(versionOf(active), state.FirstVersion) + 1:
		if r.NotBefore.After(completeAt) {
			return r.NotBefore
		}
	}
	// The source may have seen versions in between that this process has not. Engines that serve
	// the active version had to leave it when the first of those was published.
	return completeAt
}

// firstNotBefore returns the same for a replica that was never confirmed, as at the start of the
// process: what the source knows, for the first release of the replica and for the version that
// follows the active one.
func firstNotBefore(active, r state.Row) time.Time {
	switch {
	case active.Value == nil, versionOf(r) == versionOf(active)+1:
		return r.NotBefore
	case versionOf(r) == versionOf(active):
		return active.NotBefore
	}
	return time.Time{}
}

// retainedNotBefore returns the same for a release of a former era, which the store has lost.
func (m *Mirror) retainedNotBefore(r state.Row) time.Time {
	switch {
	case !m.formerCompleteAt.IsZero():
		return m.notBefore(m.formerCompleteAt, r)
	case state.IsRelease(r.Key) && !r.NotBefore.IsZero():
		// This process has started in the present era.
		return r.NotBefore
	}
	return m.notBefore(m.completeAt, r)
}

// beginEra decides which rows of the last era stay active, and returns their keys. The replica
// isn't confirmed to be current in the new era until the update is applied whole.
func (m *Mirror) beginEra(now time.Time, u Update) []string {
	active := make(map[string]state.Row, len(m.rows))
	for key := range m.rows {
		if r := m.retention.active(key, m.rows); r.Value != nil {
			active[key] = r
		}
	}
	touched := make([]string, 0, len(m.retention.rows))
	for key, k := range m.retention.rows {
		touched = append(touched, key)
		if k.row.Value != nil {
			active[key] = k.row
		}
	}
	platform := make(map[string]state.Row, len(u.Rows))
	for _, r := range u.Rows {
		platform[r.Key] = r
	}
	m.retention.beginEra(now, active, platform)
	for key := range m.retention.rows {
		touched = append(touched, key)
	}
	m.historyStart = u.Head
	m.formerCompleteAt = m.completeAt
	m.confirmedAt.Store(nil)
	return touched
}

// publish builds the snapshot with the active rows of the given keys.
func (m *Mirror) publish(keys []string) []state.RowError {
	rows := make([]state.Row, 0, len(keys))
	for _, key := range keys {
		r := m.retention.active(key, m.rows)
		r.Key = key
		rows = append(rows, r)
	}
	snapshot, invalid := m.builder.Apply(m.head, rows)
	m.active.Store(&activeSnapshot{snapshot: snapshot, since: clocks.Now()})
	return invalid
}

// changedRows returns the rows of an update that differ from the replica. For a full
// update it includes the rows that it lacks, as deleted.
func (m *Mirror) changedRows(u Update) []state.Row {
	var rows []state.Row
	listed := make(map[string]bool, len(u.Rows))
	for _, r := range u.Rows {
		listed[r.Key] = true
		if known, ok := m.rows[r.Key]; ok && equalRows(known, r) {
			continue
		}
		rows = append(rows, r)
	}
	if !u.Full {
		return rows
	}
	for key, known := range m.rows {
		if !listed[key] && known.Value != nil {
			rows = append(rows, state.Row{Key: key, Revision: u.Head})
		}
	}
	return rows
}

func (m *Mirror) putRow(r state.Row) {
	known, ok := m.rows[r.Key]
	m.checksum += rowChecksum(r) - rowChecksum(known)
	if ok && known.Value == nil {
		m.tombstones--
	}
	if r.Value == nil {
		m.tombstones++
	}
	m.rows[r.Key] = r
}

// pruneTombstones forgets the oldest half of the deleted rows. Processes whose replica
// is older than those receive all rows.
func (m *Mirror) pruneTombstones() {
	if m.tombstones <= maxTombstones {
		return
	}
	var deleted []state.Row
	for _, r := range m.rows {
		if r.Value == nil {
			deleted = append(deleted, r)
		}
	}
	slices.SortFunc(deleted, func(a, b state.Row) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, r := range deleted[:len(deleted)/2] {
		delete(m.rows, r.Key)
		m.historyStart = max(m.historyStart, r.Revision)
		m.tombstones--
	}
}

// RetainedChecksum identifies the rows of earlier eras that are active within the scope.
func (m *Mirror) RetainedChecksum(scope Scope) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.retention.checksum(scope)
}

// UpdateSince returns the update for a process whose replica is at the given revision,
// restricted to its scope. The second result is false if this mirror is empty or older.
func (m *Mirror) UpdateSince(after state.Revision, scope Scope) (Update, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.head == 0 || after > m.head {
		return Update{}, false
	}
	u := Update{
		Head: m.head, Full: after < m.historyStart || after == 0, Checksum: m.checksum, HasChecksum: true,
		ConfirmedAt: m.ConfirmedAt(), LastContact: m.LastContact(), Retained: m.retention.list(clocks.Now(), scope),
	}
	if len(scope) > 0 {
		u.Checksum = 0
	}
	for _, r := range m.rows {
		if !scope.Contains(r.Key) {
			continue
		}
		if len(scope) > 0 {
			u.Checksum += rowChecksum(r)
		}
		if u.Full && r.Value != nil || !u.Full && r.Revision > after {
			u.Rows = append(u.Rows, r)
		}
	}
	return u, true
}
