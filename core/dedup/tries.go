package dedup

import (
	"currantport.example/core/calls"
)

// tries remembers attempts without a key.
type tries struct {
	// states holds the running attempts and the last ended ones.
	states map[calls.ID]State
	// ended holds at most most attempts, oldest first.
	ended []try
	most  int
	// floor is the newest stamp of an attempt that was forgotten.
	floor Stamp
}

type try struct {
	id    calls.ID
	stamp Stamp
}

func newTries(most int) tries { return tries{states: make(map[calls.ID]State), most: most} }

func (t *tries) end(id calls.ID, stamp Stamp, state State) {
	t.states[id] = state
	t.ended = append(t.ended, try{id: id, stamp: stamp})
	if len(t.ended) > t.most {
		delete(t.states, t.ended[0].id)
		t.floor = t.ended[0].stamp
		t.ended = t.ended[1:]
	}
}

func (m *Memory) endTry(id calls.ID, state State) {
	m.stamp++
	m.tries.end(id, m.stamp, state)
}

// beginTry starts an attempt that is neither fenced nor so old that its fence
// may have been forgotten. An attempt of an entry that has heard nothing from
// the host is never fenced.
func (m *Memory) beginTry(a Attempt) Decision {
	s, seen := m.tries.states[a.ID]
	heard := a.Token.Incarnation != ""
	switch {
	case seen && s != StateFenced:
		return Decision{Refusal: calls.Unknown(calls.ReasonRunning, retryWait, "the attempt has started before")}
	case seen:
		return Decision{Refusal: calls.NotRun(calls.ReasonFenced, retryWait, "the attempt was fenced off")}
	case heard && a.Token.Incarnation != m.options.Self.Incarnation:
		return Decision{Refusal: calls.NotRun(calls.ReasonStarting, retryWait, "the attempt was sent to an earlier process")}
	case heard && a.Token.Stamp < m.tries.floor:
		return Decision{Refusal: calls.Unknown(calls.ReasonLost, retryWait, "the attempt is older than the memory of attempts")}
	}
	m.tries.states[a.ID] = StateRunning
	return Decision{Action: ActionStart}
}

// settleTry fences an attempt that has not run, if the memory reaches back to
// before the attempt was made.
func (m *Memory) settleTry(a Attempt) State {
	if s, seen := m.tries.states[a.ID]; seen {
		return s
	}
	if a.Token.Incarnation != m.options.Self.Incarnation || a.Token.Stamp < m.tries.floor {
		return StateUnknown
	}
	m.endTry(a.ID, StateFenced)
	return StateFenced
}
