package relay

import (
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

const (
	// bucketCount is the number of groups of rows whose digests are compared when a
	// replica can't be updated by changes.
	bucketCount = 64
	// maxRecentChanges limits the revisions whose changes a replica keeps.
	maxRecentChanges = 64
	// maxRecentNames limits the names of rows and hosts in the recent changes
	// together.
	maxRecentNames = 8192
)

var (
	// errMalformedPart is returned for a part of a reply that can't be applied.
	errMalformedPart = errors.New("malformed part of a table")
	// errSumMismatch is returned if the rows differ from those of the sender.
	errSumMismatch = errors.New("rows differ from the sender's")
)

// version identifies a state of a table. After a fork, one revision has several sums.
type version struct {
	revision uint64
	// sum is the sum of the digests of all rows.
	sum uint64
}

// replica holds one table, the digests of its rows and its recent changes. Where the
// argument only of a method isn't empty, the method covers just the rows that list
// that host.
type replica[R row] struct {
	kind  tables.Kind
	codec codec[R]
	version
	// rows is never modified once it is active.
	rows map[string]R
	// digests holds the digest of each row.
	digests map[string]uint64
	// hostSums holds for each host the sum of the digests of the rows that list it.
	hostSums map[hosts.Name]uint64
	// recent holds the newest changes in order. Each one starts from the state that
	// the one before results in.
	recent []change
	// nameCount is the number of names in recent.
	nameCount int
	// compareNext makes the next request carry the sums of the buckets, because
	// changes alone couldn't bring the replica up to date.
	compareNext bool
}

// change is the difference that one revision made.
type change struct {
	from version
	rows []rowChange
}

type rowChange struct {
	name   string
	joined []hosts.Name
	left   []hosts.Name
}

func newReplica[R row](kind tables.Kind, c codec[R]) *replica[R] {
	return &replica[R]{kind: kind, codec: c, rows: map[string]R{}, digests: map[string]uint64{}, hostSums: map[hosts.Name]uint64{}}
}

func (s *replica[R]) rowDigest(r R) (uint64, error) {
	data, err := s.codec.encode(r)
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}

// mark returns the revision and the sum of the rows.
func (s *replica[R]) mark(only hosts.Name) *wire.Mark {
	m := &wire.Mark{Table: string(s.kind), Revision: s.revision, Sum: s.sum}
	if only != "" {
		m.Sum = s.hostSums[only]
	}
	return m
}

func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % bucketCount) }

func (s *replica[R]) buckets(only hosts.Name) []uint64 {
	all := make([]uint64, bucketCount)
	for name, sum := range s.digests {
		if only == "" || s.listsHost(name, only) {
			all[bucketOf(name)] += sum
		}
	}
	return all
}

func (s *replica[R]) listsHost(name string, host hosts.Name) bool {
	_, found := slices.BinarySearch(s.codec.members(s.rows[name]), host)
	return found
}

// replace replaces the rows by those of a newer revision. The replica takes ownership
// of the map.
func (s *replica[R]) replace(revision uint64, rows map[string]R) error {
	names := make(map[string]bool, len(rows))
	for name := range rows {
		names[name] = true
	}
	for name := range s.rows {
		names[name] = true
	}
	next, err := s.difference(rows, names)
	if err != nil {
		return err
	}
	s.commit(revision, rows, next)
	return nil
}

// update is the difference between the current rows and new ones.
type update struct {
	change change
	// digests holds the digests of the rows that are new or differ.
	digests map[string]uint64
	sum     uint64
}

// difference compares the rows that have one of the names with the current ones.
func (s *replica[R]) difference(rows map[string]R, names map[string]bool) (update, error) {
	u := update{change: change{from: s.version}, digests: map[string]uint64{}, sum: s.sum}
	for name := range names {
		before, held := s.digests[name]
		r, ok := rows[name]
		if !ok {
			if held {
				u.sum -= before
				u.change.rows = append(u.change.rows, s.rowChange(name, nil))
			}
			continue
		}
		d, err := s.rowDigest(r)
		if err != nil {
			return u, err
		}
		if !held || before != d {
			u.sum += d - before
			u.digests[name] = d
			u.change.rows = append(u.change.rows, s.rowChange(name, s.codec.members(r)))
		}
	}
	return u, nil
}

func (s *replica[R]) rowChange(name string, after []hosts.Name) rowChange {
	before := s.codec.members(s.rows[name])
	return rowChange{name: name, joined: subtract(after, before), left: subtract(before, after)}
}

// subtract returns the names of the first list that the second one doesn't contain.
// Both are ordered.
func subtract(all, others []hosts.Name) []hosts.Name {
	var rest []hosts.Name
	for _, n := range all {
		if _, found := slices.BinarySearch(others, n); !found {
			rest = append(rest, n)
		}
	}
	return rest
}

func (s *replica[R]) commit(revision uint64, rows map[string]R, u update) {
	for _, c := range u.change.rows {
		s.addHostSums(s.codec.members(s.rows[c.name]), -s.digests[c.name])
		d, ok := u.digests[c.name]
		if !ok {
			delete(s.digests, c.name)
			continue
		}
		s.digests[c.name] = d
		s.addHostSums(s.codec.members(rows[c.name]), d)
	}
	s.rows, s.version = rows, version{revision: revision, sum: u.sum}
	s.recordChange(u.change)
}

func (s *replica[R]) addHostSums(members []hosts.Name, sum uint64) {
	for _, m := range members {
		s.hostSums[m] += sum
		if s.hostSums[m] == 0 {
			delete(s.hostSums, m)
		}
	}
}

func (s *replica[R]) recordChange(c change) {
	s.recent = append(s.recent, c)
	s.nameCount += c.nameCount()
	for len(s.recent) > maxRecentChanges || s.nameCount > maxRecentNames && len(s.recent) > 0 {
		s.nameCount -= s.recent[0].nameCount()
		s.recent = slices.Delete(s.recent, 0, 1)
	}
}

func (c change) nameCount() int {
	n := 0
	for _, r := range c.rows {
		n += 1 + len(r.joined) + len(r.left)
	}
	return n
}

// changesSince returns the changes after the state of the mark, or false if the
// replica doesn't keep all of them any more.
func (s *replica[R]) changesSince(m *wire.Mark, only hosts.Name) ([]change, bool) {
	for i, c := range s.recent {
		if c.from.revision == m.Revision && (only != "" || c.from.sum == m.Sum) {
			return s.recent[i:], true
		}
	}
	return nil, false
}

// part returns what a process with the mark lacks, or nil if it lacks nothing. If the
// recent changes don't reach back to the mark, the part requests the sums of its
// buckets.
func (s *replica[R]) part(m *wire.Mark, only hosts.Name) (*wire.Part, error) {
	if !s.isNewer(m) && len(m.Buckets) == 0 {
		return nil, nil
	}
	mine := s.mark(only)
	p := &wire.Part{Table: string(s.kind), Revision: s.revision, Sum: mine.Sum, Base: m.Revision}
	if len(m.Buckets) == bucketCount {
		return p, s.addBuckets(p, m.Buckets, only)
	}
	if m.Sum == 0 && m.Revision == 0 {
		return p, s.addBuckets(p, make([]uint64, bucketCount), only)
	}
	changes, ok := s.changesSince(m, only)
	if !ok {
		p.Compare = true
		return p, nil
	}
	return p, s.addChanges(p, changes, only)
}

// isNewer reports whether the replica is newer than the mark. If two states of the
// list of hosts have the same revision, the one with the greater sum counts as newer,
// so that all processes settle on the same list.
func (s *replica[R]) isNewer(m *wire.Mark) bool {
	if s.revision != m.Revision {
		return s.revision > m.Revision
	}
	return s.kind == KindHosts && s.sum > m.Sum
}

// addBuckets adds all rows of the buckets whose sums differ from the receiver's.
func (s *replica[R]) addBuckets(p *wire.Part, theirs []uint64, only hosts.Name) error {
	for i, sum := range s.buckets(only) {
		if sum != theirs[i] {
			p.Buckets = append(p.Buckets, uint32(i))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.rows)) {
		if !slices.Contains(p.Buckets, bucketOf(name)) || only != "" && !s.listsHost(name, only) {
			continue
		}
		data, err := s.codec.encode(s.rows[name])
		if err != nil {
			return err
		}
		p.Changed = append(p.Changed, &wire.Row{Name: name, Data: data})
	}
	return nil
}

// addChanges adds the rows that the changes affect.
func (s *replica[R]) addChanges(p *wire.Part, changes []change, only hosts.Name) error {
	all := mergeChanges(changes)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		r, ok := s.rows[name]
		members := all[name]
		if only != "" && ok && !s.listsHost(name, only) {
			ok = false
		}
		if !ok {
			if only == "" || members.contains(only) {
				p.Removed = append(p.Removed, name)
			}
			continue
		}
		m, err := s.encodeRow(name, r, members, only)
		if err != nil {
			return err
		}
		p.Changed = append(p.Changed, m)
	}
	return nil
}

// encodeRow encodes a row for a receiver that knows the members from before the
// changes. It sends only those that joined or left, or all members if more than half
// changed or if the receiver itself has just joined.
func (s *replica[R]) encodeRow(name string, r R, m membership, only hosts.Name) (*wire.Row, error) {
	full := only != "" && m[only] || len(m) > len(s.codec.members(r))/2
	if !full {
		r = s.codec.withMembers(r, nil)
	}
	data, err := s.codec.encode(r)
	if err != nil {
		return nil, err
	}
	w := &wire.Row{Name: name, Data: data, Partial: !full}
	if full {
		return w, nil
	}
	for _, h := range slices.Sorted(maps.Keys(m)) {
		if m[h] {
			w.Joined = append(w.Joined, string(h))
		} else {
			w.Left = append(w.Left, string(h))
		}
	}
	return w, nil
}

// membership holds for each host that joined or left a row whether it is a member now.
type membership map[hosts.Name]bool

func (m membership) contains(host hosts.Name) bool {
	_, ok := m[host]
	return ok
}

// mergeChanges returns the final membership changes of each changed row.
func mergeChanges(changes []change) map[string]membership {
	all := make(map[string]membership)
	for _, c := range changes {
		for _, r := range c.rows {
			m := all[r.name]
			if m == nil {
				m = make(membership)
				all[r.name] = m
			}
			for _, h := range r.joined {
				m[h] = true
			}
			for _, h := range r.left {
				m[h] = false
			}
		}
	}
	return all
}
