package gate

import (
	"currantport.example/core/engine"
	"currantport.example/core/wire"
)

// eventsOf returns the changes of the prefix cache after the serial. All that
// are known are returned if the serial is from before a gap or another start.
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
