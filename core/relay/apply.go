package relay

import (
	"fmt"
	"maps"
	"slices"

	"currantport.example/core/hosts"
	"currantport.example/core/wire"
)

// apply applies a part of a reply as a whole or, on an error, changes nothing. It
// reports whether the rows changed.
func (s *replica[R]) apply(p *wire.Part) (bool, error) {
	if p.Compare {
		s.compareNext = s.isOlder(p)
		return false, nil
	}
	if !s.isOlder(p) {
		return false, nil
	}
	if len(p.Buckets) == 0 && p.Base != s.revision {
		// The state changed while the reply was in flight.
		return false, nil
	}
	rows, err := s.rowsAfter(p)
	if err != nil {
		s.compareNext = true
		return false, err
	}
	u, err := s.difference(rows, s.affectedRows(p))
	if err != nil {
		return false, err
	}
	if u.sum != p.Sum {
		s.compareNext = true
		return false, fmt.Errorf("%w: table %s revision %d", errSumMismatch, s.kind, p.Revision)
	}
	s.compareNext = false
	s.commit(p.Revision, rows, u)
	return true, nil
}

func (s *replica[R]) isOlder(p *wire.Part) bool {
	if s.revision != p.Revision {
		return s.revision < p.Revision
	}
	return s.kind == KindHosts && s.sum < p.Sum
}

// affectedRows returns the names of the rows that a part may change.
func (s *replica[R]) affectedRows(p *wire.Part) map[string]bool {
	names := make(map[string]bool)
	for _, w := range p.Changed {
		names[w.Name] = true
	}
	for _, name := range p.Removed {
		names[name] = true
	}
	if len(p.Buckets) == 0 {
		return names
	}
	for name := range s.rows {
		if slices.Contains(p.Buckets, bucketOf(name)) {
			names[name] = true
		}
	}
	return names
}

// rowsAfter returns the rows that result from a part.
func (s *replica[R]) rowsAfter(p *wire.Part) (map[string]R, error) {
	rows := maps.Clone(s.rows)
	if len(p.Buckets) > 0 {
		maps.DeleteFunc(rows, func(name string, _ R) bool { return slices.Contains(p.Buckets, bucketOf(name)) })
	}
	for _, name := range p.Removed {
		delete(rows, name)
	}
	for _, w := range p.Changed {
		r, err := s.decodeRow(w)
		if err != nil {
			return nil, err
		}
		rows[w.Name] = r
	}
	return rows, nil
}

// decodeRow decodes a row and, if it is partial, adds its members.
func (s *replica[R]) decodeRow(w *wire.Row) (R, error) {
	r, err := s.codec.decode(w.Data)
	if err != nil {
		return r, err
	}
	if r.RowName() != w.Name {
		return r, fmt.Errorf("%w: row %q is named %q", errMalformedPart, w.Name, r.RowName())
	}
	if !w.Partial {
		return r, nil
	}
	return s.codec.withMembers(r, s.membersAfter(w)), nil
}

func (s *replica[R]) membersAfter(w *wire.Row) []hosts.Name {
	members := slices.Clone(s.codec.members(s.rows[w.Name]))
	for _, h := range w.Joined {
		members = append(members, hosts.Name(h))
	}
	slices.Sort(members)
	members = slices.Compact(members)
	return slices.DeleteFunc(members, func(h hosts.Name) bool { return slices.Contains(w.Left, string(h)) })
}
