package admit

const (
	// retryRatio is the number of retries that each first attempt adds.
	retryRatio = 0.1
	// maxSavedRetries limits the number of unused retries.
	maxSavedRetries = 10.0
)

// Budget limits the retries of a process to a ratio of its first attempts. The zero
// value is a full budget, so that the first failures are retried. One goroutine at a
// time may use it.
type Budget struct {
	// spent is the used part of maxSavedRetries, from 0 to maxSavedRetries.
	spent float64
}

// RecordRequest records a first attempt, which adds to the budget.
func (b *Budget) RecordRequest() { b.spent = max(b.spent-retryRatio, 0) }

// TrySpend takes one retry from the budget. It reports false if there is none.
func (b *Budget) TrySpend() bool {
	if b.spent > maxSavedRetries-1 {
		return false
	}
	b.spent++
	return true
}
