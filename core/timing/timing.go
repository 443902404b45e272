// Package timing predicts how long engines take for requests, from their load and the cost
// model of their pool. An entry sends each request to the engine with the earliest
// predicted first event. It does no I/O.
//
// # Workload
//
// Requests vary widely in size. An engine reads prompts one after the other and generates
// output in batches. Each entry sends only part of the requests and receives the load of
// the others late. Counting requests would treat a prompt of 4,000 tokens like one of 100;
// what clients wait for is the prefill, a free slot in the batch, and one pass of the
// batch. So the time to the first event is predicted from these three.
package timing

import (
	"time"

	"currantport.example/core/state"
)

// Load is the load of one engine from all entries.
type Load struct {
	// Running counts the requests in the batch and those that wait for a slot in it.
	Running int
	// Unread is the number of prompt tokens that wait for prefill.
	Unread int
	// Pace is above 1 for an engine that is slower than the cost model of its pool: 2 means
	// half the speed. Values below 1 count as 1.
	Pace float64
}

// stepTime returns the time of one decoding step of a batch of n requests.
func stepTime(e *state.Engine, n int) time.Duration {
	context := time.Duration(float64(n*(e.PromptTokens+e.OutputTokens/2)) / 1000 * float64(e.StepTimePerContext))
	return e.StepTime + time.Duration(n)*e.StepTimePerRequest + context
}

// PrefillTime returns the time in which an engine reads the tokens, without the part that
// grows with the square of the prompt length.
func PrefillTime(e *state.Engine, tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.PrefillRate * float64(time.Second))
}

// attentionTime returns the time that a prompt takes in addition to PrefillTime. It grows
// with the square of the length.
func attentionTime(e *state.Engine, prompt int) time.Duration {
	return time.Duration(float64(prompt) * float64(prompt) / 2 / 1e6 * float64(e.PrefillPairTime))
}

// serviceTime returns the mean time between two completed requests of an engine with a full
// batch.
func serviceTime(e *state.Engine) time.Duration {
	decode := time.Duration(e.OutputTokens) * stepTime(e, e.Slots) / time.Duration(e.Slots)
	return decode + PrefillTime(e, e.PromptTokens)
}

// FirstEvent predicts the time from sending a request to its first event.
func FirstEvent(e *state.Engine, l Load, prompt int) time.Duration {
	batch := min(l.Running, e.Slots-1)
	pass := time.Duration(e.Stride) * stepTime(e, batch+1)
	// The request arrives in the middle of a pass, is read in the next one and gets its
	// first event at the end of that one.
	t := pass + pass/2 + PrefillTime(e, l.Unread+prompt) + attentionTime(e, prompt)
	if waiting := l.Running - e.Slots + 1; waiting > 0 {
		t += time.Duration(waiting) * serviceTime(e)
	}
	if l.Pace > 1 {
		t = time.Duration(float64(t) * l.Pace)
	}
	return t
}

// EventGap predicts the longest gap between two events that the prefill of the prompt
// causes in the streams of the batch.
func EventGap(e *state.Engine, l Load, prompt int) time.Duration {
	if l.Running == 0 {
		return 0
	}
	t := time.Duration(e.Stride)*stepTime(e, min(l.Running+1, e.Slots)) + PrefillTime(e, l.Unread+prompt) + attentionTime(e, prompt)
	return time.Duration(float64(t) * max(l.Pace, 1))
}

// Rate returns how many requests per second an engine with a full batch completes.
func Rate(e *state.Engine, pace float64) float64 {
	return float64(time.Second) / (float64(serviceTime(e)) * max(pace, 1))
}
