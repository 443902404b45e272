package gate

import (
	"currantport.example/core/engine"
	"currantport.example/core/wire"
)

// eventsOf returns the changes of the prefix cache after the serial. It returns all
// known changes if the serial precedes a gap or belongs to an earlier start of the
// engine.
func eventsOf(s engine.State, seen uint64) []*wire.CacheEvent {
	changes := s.CacheChanges
	if missing := s.CacheSerial - seen; seen <= s.CacheSerial && missing < uint64(len(changes)) {
		changes = changes[uint64(len(changes))-missing:]
	}
	events := make([]*wire.CacheEvent, 0, len(changes))
	for _, c := range changes {
		events = append(events, &wire.CacheEvent{Prefix: c.PrefixHash, Dropped: c.Evicted})
	}
	return events
}
