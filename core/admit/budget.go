package admit

const (
	// budgetShare is the number of retries that each first attempt pays for.
	budgetShare = 0.1
	// budgetMost bounds the retries that are saved up.
	budgetMost = 10.0
)

// Budget bounds the retries of a process to a share of its first attempts. A
// process begins with a full budget, so that the first failures are retried.
// One goroutine at a time may use it.
type Budget struct {
	// spent is the part of budgetMost that isn't there, from 0 to budgetMost.
	spent float64
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest() { b.spent = max(b.spent-budgetShare, 0) }

// TrySpend takes one retry out of the budget. It reports false if there is none.
func (b *Budget) TrySpend() bool {
	if b.spent > budgetMost-1 {
		return false
	}
	b.spent++
	return true
}
