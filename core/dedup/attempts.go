package dedup

import (
	"currantport.example/core/calls"
)

// attemptLog records the states of attempts without a key.
type attemptLog struct {
	// states holds the running attempts and the last ended ones.
	states map[calls.ID]State
	// ended holds at most maxEnded attempts, oldest first.
	ended    []endedAttempt
	maxEnded int
	// forgottenStamp is the newest stamp of an attempt that was dropped.
	forgottenStamp Stamp
}

type endedAttempt struct {
	id    calls.ID
	stamp Stamp
}

func newAttemptLog(maxEnded int) attemptLog {
	return attemptLog{states: make(map[calls.ID]State), maxEnded: maxEnded}
}

func (l *attemptLog) end(id calls.ID, stamp Stamp, state State) {
	l.states[id] = state
	l.ended = append(l.ended, endedAttempt{id: id, stamp: stamp})
	if len(l.ended) > l.maxEnded {
		delete(l.states, l.ended[0].id)
		l.forgottenStamp = l.ended[0].stamp
		l.ended = l.ended[1:]
	}
}

func (m *Memory) endAttempt(id calls.ID, state State) {
	m.stamp++
	m.attempts.end(id, m.stamp, state)
}

// beginAttempt starts an attempt, unless it is fenced or so old that the record of
// its fence may have been dropped. An attempt of an entry that has no token of the
// host yet is never fenced.
func (m *Memory) beginAttempt(a Attempt) Decision {
	s, known := m.attempts.states[a.ID]
	stamped := a.Token.Incarnation != ""
	switch {
	case known && s != StateFenced:
		return Decision{Refusal: calls.Unknown(calls.ReasonRunning, retryAfter, "the attempt has started before")}
	case known:
		return Decision{Refusal: calls.NotRun(calls.ReasonFenced, retryAfter, "the attempt was fenced off")}
	case stamped && a.Token.Incarnation != m.options.Self.Incarnation:
		return Decision{Refusal: calls.NotRun(calls.ReasonStarting, retryAfter, "the attempt was sent to an earlier process")}
	case stamped && a.Token.Stamp < m.attempts.forgottenStamp:
		return Decision{Refusal: calls.Unknown(calls.ReasonLost, retryAfter, "the attempt is older than the memory of attempts")}
	}
	m.attempts.states[a.ID] = StateRunning
	return Decision{Action: ActionStart}
}

// settleAttempt fences an attempt that has not run, if the records reach back to
// before the attempt was made.
func (m *Memory) settleAttempt(a Attempt) State {
	if s, seen := m.attempts.states[a.ID]; seen {
		return s
	}
	if a.Token.Incarnation != m.options.Self.Incarnation || a.Token.Stamp < m.attempts.forgottenStamp {
		return StateUnknown
	}
	m.endAttempt(a.ID, StateFenced)
	return StateFenced
}
