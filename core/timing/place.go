// Package place decides to which engine a request goes: the one that is expected to
// answer first. It does no I/O.
//
// # Load it answers
//
// Many requests of very unequal size at engines that read prompts one after the
// other and write answers in batches, seen by entries that each send a share of the
// requests and learn of the others' share late. Counting requests treats a prompt of
// 4,000 tokens like one of 100; what callers wait for is reading, a place in the
// batch, and a pass of the batch. So the time to the first event is predicted from
// these three.
package timing

import (
	"time"

	"currantport.example/core/state"
)

// Load is what is at an engine, sent by any entry.
type Load struct {
	// Running counts requests in the batch and those that wait for a place in it.
	Running int
	// Unread is the number of prompt tokens that wait to be read.
	Unread int
	// Pace is above one for an engine that is slower than its pool's model.
	Pace float64
}

// step is the time of one step of a batch of n requests.
func step(e *state.Engine, n int) time.Duration {
	context := time.Duration(float64(n*(e.PromptTokens+e.OutputTokens/2)) / 1000 * float64(e.StepTimePerContext))
	return e.StepTime + time.Duration(n)*e.StepTimePerRequest + context
}

// PrefillTime returns how long an engine reads the tokens.
func PrefillTime(e *state.Engine, tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.PrefillRate * float64(time.Second))
}

// pairsTime is what long prompts take beyond ReadTime.
func pairsTime(e *state.Engine, prompt int) time.Duration {
	return time.Duration(float64(prompt) * float64(prompt) / 2 / 1e6 * float64(e.PrefillPairTime))
}

// service is the time in which a full engine ends one request.
func service(e *state.Engine) time.Duration {
	write := time.Duration(e.OutputTokens) * step(e, e.Slots) / time.Duration(e.Slots)
	return write + PrefillTime(e, e.PromptTokens)
}

// FirstEvent predicts the time from the sending of a request to its first event.
func FirstEvent(e *state.Engine, l Load, prompt int) time.Duration {
	batch := min(l.Running, e.Slots-1)
	pass := time.Duration(e.Stride) * step(e, batch+1)
	// The request arrives in the middle of a pass, is read in the next and gets its
	// first event at the end of that.
	t := pass + pass/2 + PrefillTime(e, l.Unread+prompt) + pairsTime(e, prompt)
	if over := l.Running - e.Slots + 1; over > 0 {
		t += time.Duration(over) * service(e)
	}
	if l.Pace > 1 {
		t = time.Duration(float64(t) * l.Pace)
	}
	return t
}

// EventGap predicts the longest pause that reading the prompt adds to the answers in
// the batch.
func EventGap(e *state.Engine, l Load, prompt int) time.Duration {
	if l.Running == 0 {
		return 0
	}
	t := time.Duration(e.Stride)*step(e, min(l.Running+1, e.Slots)) + PrefillTime(e, l.Unread+prompt) + pairsTime(e, prompt)
	return time.Duration(float64(t) * max(l.Pace, 1))
}

// Rate returns how many requests a second a full engine ends.
func Rate(e *state.Engine, pace float64) float64 {
	return float64(time.Second) / (float64(service(e)) * max(pace, 1))
}
