package feed

import (
	"bytes"
	"time"

	"currantport.example/core/recent"
	"currantport.example/core/state"
)

const (
	// reregisterTimeout is how long an upstream that a restored store lacks stays in use. Live
	// ones register again within two seconds of the store's return.
	reregisterTimeout = 2500 * time.Millisecond
	// revivedTimeout is how long an upstream that had left stays unused although a restored
	// store lists it. Stores drop upstreams that are silent for about four seconds.
	revivedTimeout = 5 * time.Second
	// maxDeparted is the number of upstreams that are remembered as gone, above the size of a
	// fleet.
	maxDeparted = 16384
)

// RetainedRow is a row that stays active although the platform's current era has another one.
type RetainedRow struct {
	Row state.Row
	// Remaining is how long it stays at most, or zero if it stays until the platform's row
	// supersedes it.
	Remaining time.Duration
}

// retainedRow is a retained row of a replica.
type retainedRow struct {
	// row overrides that of the platform. With a nil value the platform's row stays unused.
	row state.Row
	// until is the time at which the platform's row becomes active in any case, or zero.
	until time.Time
	// departed is when the process of an upstream started that has left, if row has no value
	// for that reason. It isn't passed on, since others may know of a later process.
	departed time.Time
}

// isShared reports whether the row is passed on to other processes.
func (k retainedRow) isShared() bool { return k.departed.IsZero() }

// retention decides, when the platform's store was restored from a copy, which rows of the era
// before stay active until they are published again. It isn't safe for concurrent use.
//
// The configuration is retained as a whole, and a release, while the platform states an older
// version. An upstream that is draining stays so until its process has ended. Upstreams that the
// copy lacks, or lists again, are believed to be as before for a while.
type retention struct {
	rows map[string]retainedRow
	// departed holds when the process of each upstream started that was removed, by key.
	departed *recent.Map[string, time.Time]
	// drained holds when the process of each upstream started that was draining when an era
	// began, by key.
	drained *recent.Map[string, time.Time]
}

func newRetention() retention {
	return retention{departed: recent.New[string, time.Time](maxDeparted), drained: recent.New[string, time.Time](maxDeparted)}
}

// recordDeparture remembers that the platform removed an upstream.
func (r *retention) recordDeparture(row state.Row) {
	if f, ok := state.FactsOf(row); ok && !f.Started.IsZero() {
		r.departed.Put(row.Key, f.Started)
	}
}

// beginEra decides on all rows when an era begins. Active holds the rows that were active,
// platform those of the new era.
func (r *retention) beginEra(now time.Time, active, platform map[string]state.Row) {
	r.rows = make(map[string]retainedRow)
	r.retainConfig(active, platform)
	for key, row := range active {
		r.retainRow(now, row, platform[key])
	}
	for key, row := range platform {
		_, wasActive := active[key]
		f, ok := state.FactsOf(row)
		if started, departed := r.departed.Get(key); ok && departed && !wasActive && started.Equal(f.Started) {
			r.rows[key] = retainedRow{row: state.Row{Key: key}, until: now.Add(revivedTimeout), departed: started}
		}
	}
}

// retainConfig retains the active configuration if that of the platform is older.
func (r *retention) retainConfig(active, platform map[string]state.Row) {
	if versionOf(active[state.ConfigKey]) <= versionOf(platform[state.ConfigKey]) {
		return
	}
	for key, row := range active {
		if state.IsConfig(key) {
			r.rows[key] = retainedRow{row: row}
		}
	}
	for key := range platform {
		if _, ok := active[key]; !ok && state.IsConfig(key) {
			r.rows[key] = retainedRow{row: state.Row{Key: key}}
		}
	}
}

// retainRow retains a row that isn't part of the configuration if the platform's row must not
// replace it yet.
func (r *retention) retainRow(now time.Time, row, platform state.Row) {
	if state.IsConfig(row.Key) {
		return
	}
	was, ok := state.FactsOf(row)
	if !ok {
		return
	}
	is, listed := state.FactsOf(platform)
	switch {
	case was.Version > 0:
		if was.Version > is.Version {
			r.rows[row.Key] = retainedRow{row: row}
		}
	case !listed || is.Started.Before(was.Started):
		r.rows[row.Key] = retainedRow{row: row, until: now.Add(reregisterTimeout)}
	case was.Draining && is.Started.Equal(was.Started) && !is.Draining:
		r.rows[row.Key] = retainedRow{row: row}
	}
	if was.Draining {
		r.drained.Put(row.Key, was.Started)
	}
}

// release drops the retained rows that the platform's rows supersede, or whose time has passed,
// and returns their keys.
func (r *retention) release(now time.Time, platform map[string]state.Row) []string {
	var released []string
	configVersion := versionOf(platform[state.ConfigKey])
	isNewer := versionOf(r.rows[state.ConfigKey].row) > configVersion
	for key, k := range r.rows {
		if state.IsConfig(key) && isNewer || !state.IsConfig(key) && k.isActive(now, platform[key]) {
			continue
		}
		released = append(released, key)
		delete(r.rows, key)
	}
	return released
}

// isActive reports whether a retained row still overrides the platform's row.
func (k retainedRow) isActive(now time.Time, platform state.Row) bool {
	if !k.until.IsZero() && !now.Before(k.until) {
		return false
	}
	is, listed := state.FactsOf(platform)
	was, ok := state.FactsOf(k.row)
	switch {
	case !ok:
		return listed && is.Started.Equal(k.departed)
	case was.Version > 0:
		return was.Version > is.Version
	case !listed || is.Started.Before(was.Started):
		return !k.until.IsZero()
	}
	return was.Draining && is.Started.Equal(was.Started) && !is.Draining
}

// adopt adds the rows that another process retains, where they supersede the active ones, and
// returns the keys that have changed. Active returns the active row with a key.
func (r *retention) adopt(now time.Time, all []RetainedRow, platform map[string]state.Row) []string {
	offered := make(map[string]state.Row, len(all))
	for _, k := range all {
		offered[k.Row.Key] = k.Row
	}
	adoptConfig := versionOf(offered[state.ConfigKey]) > versionOf(r.active(state.ConfigKey, platform))
	var changed []string
	for _, k := range all {
		offer := retainedRow{row: k.Row}
		if k.Remaining > 0 {
			offer.until = now.Add(k.Remaining)
		}
		isConfig := state.IsConfig(k.Row.Key)
		if isConfig && !adoptConfig || !isConfig && !r.accepts(now, offer, platform[k.Row.Key]) {
			continue
		}
		if r.rows == nil {
			r.rows = make(map[string]retainedRow)
		}
		r.rows[k.Row.Key] = offer
		changed = append(changed, k.Row.Key)
	}
	if adoptConfig {
		changed = append(changed, r.dropConfigExcept(offered, platform)...)
	}
	return changed
}

// accepts reports whether a row that another process retains says more than what is known here.
func (r *retention) accepts(now time.Time, offer retainedRow, platform state.Row) bool {
	if !offer.isActive(now, platform) {
		return false
	}
	f, _ := state.FactsOf(offer.row)
	if started, ok := r.drained.Get(offer.row.Key); ok && started.Equal(f.Started) && !f.Draining {
		return false
	}
	known, ok := r.rows[offer.row.Key]
	return !ok || offer.supersedes(known)
}

// dropConfigExcept makes the rows of the configuration inactive that an adopted one doesn't have.
func (r *retention) dropConfigExcept(adopted, platform map[string]state.Row) []string {
	var changed []string
	for key := range platform {
		if _, ok := adopted[key]; !ok && state.IsConfig(key) {
			r.rows[key] = retainedRow{row: state.Row{Key: key}}
			changed = append(changed, key)
		}
	}
	for key := range r.rows {
		_, ok := adopted[key]
		if _, listed := platform[key]; !ok && !listed && state.IsConfig(key) {
			delete(r.rows, key)
			changed = append(changed, key)
		}
	}
	return changed
}

// supersedes reports whether a retained row says more than another one with its key.
func (k retainedRow) supersedes(o retainedRow) bool {
	a, _ := state.FactsOf(k.row)
	b, _ := state.FactsOf(o.row)
	return a.Version > b.Version || a.Started.After(b.Started) || a.Started.Equal(b.Started) && a.Draining && !b.Draining
}

// active returns the active row with the key.
func (r *retention) active(key string, platform map[string]state.Row) state.Row {
	if k, ok := r.rows[key]; ok {
		return k.row
	}
	return platform[key]
}

// list returns the retained rows within the scope.
func (r *retention) list(now time.Time, scope Scope) []RetainedRow {
	var all []RetainedRow
	for key, k := range r.rows {
		if !scope.Contains(key) || !k.isShared() {
			continue
		}
		remaining := time.Duration(0)
		if !k.until.IsZero() {
			if remaining = k.until.Sub(now); remaining <= 0 {
				continue
			}
		}
		all = append(all, RetainedRow{Row: k.row, Remaining: remaining})
	}
	return all
}

// checksum identifies the retained rows within the scope.
func (r *retention) checksum(scope Scope) uint64 {
	sum := uint64(0)
	for key, k := range r.rows {
		if scope.Contains(key) && k.isShared() {
			sum += rowChecksum(state.Row{Key: key, Value: append([]byte{1}, k.row.Value...)})
		}
	}
	return sum
}

// versionOf returns the version of a configuration or release, or zero.
func versionOf(r state.Row) int64 {
	f, _ := state.FactsOf(r)
	return f.Version
}

// equalRows reports whether two rows are both deleted or have equal values.
func equalRows(a, b state.Row) bool {
	return (a.Value == nil) == (b.Value == nil) && bytes.Equal(a.Value, b.Value)
}
