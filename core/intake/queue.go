package intake

import (
	"cmp"
	"slices"
	"time"
)

// usage is memory in bytes, and the part of it that long bodies hold.
type usage struct{ total, long int64 }

// usageOf returns the usage of a body.
func usageOf(size int64) usage {
	if size > ShortBytes {
		return usage{total: size, long: size}
	}
	return usage{total: size}
}

func (u usage) plus(v usage) usage { return usage{total: u.total + v.total, long: u.long + v.long} }

func (u usage) minus(v usage) usage { return usage{total: u.total - v.total, long: u.long - v.long} }

// waiter is a body that needs more memory. The mutex of the intake guards it.
type waiter struct {
	share *share
	bytes int64
	// ready is closed once the body has the memory. It is nil if the body has it at once.
	ready chan struct{}
}

// change returns what the usage grows by if the waiter gets its memory.
func (w *waiter) change() usage {
	return usageOf(w.share.size + w.bytes).minus(usageOf(w.share.size))
}

func (w *waiter) isLong() bool { return w.share.size+w.bytes > ShortBytes }

// fits reports whether a waiter may get its memory beside a usage. The caller holds the mutex.
func (in *Intake) fits(u usage, w *waiter) bool {
	most := in.options.MaxBytes
	if most <= 0 {
		return true
	}
	mostLong := int64(longRatio * float64(most))
	after := u.plus(w.change())
	if !w.isLong() {
		// A single long body may exceed the part of the others.
		return after.total-after.long+min(after.long, mostLong) <= most
	}
	isAlone := u.long == usageOf(w.share.size).long
	return isAlone || after.long <= mostLong && after.total <= most
}

// isOvertaking reports whether others of the same kind wait. The caller holds the mutex.
func (in *Intake) isOvertaking(w *waiter) bool {
	return slices.ContainsFunc(in.waiting, func(v *waiter) bool { return v.isLong() == w.isLong() })
}

// isCrowded reports whether those of the same kind that wait, with another one, need more than the bound. The caller
// holds the mutex.
func (in *Intake) isCrowded(w *waiter) bool {
	sum := int64(0)
	for _, v := range in.waiting {
		if v.isLong() == w.isLong() {
			sum += v.bytes
		}
	}
	return sum > 0 && sum+w.bytes > in.options.MaxBytes
}

// grant gives a waiter its memory. The caller holds the mutex.
func (in *Intake) grant(w *waiter) {
	in.used = in.used.plus(w.change())
	w.share.size += w.bytes
	w.share.isWaiting = false
	w.share.progressAt = time.Now()
	if w.ready != nil {
		close(w.ready)
	}
}

// grantWaiting gives memory to those that wait, in order. A long body that doesn't fit holds up the long ones
// behind it alone. The caller holds the mutex.
func (in *Intake) grantWaiting() {
	blocked := false
	in.waiting = slices.DeleteFunc(in.waiting, func(w *waiter) bool {
		if w.isLong() && blocked || !in.fits(in.used, w) {
			blocked = blocked || w.isLong()
			return false
		}
		in.grant(w)
		return true
	})
}

// remove ends the wait of a body without memory. The caller holds the mutex.
func (in *Intake) remove(w *waiter) {
	in.waiting = slices.DeleteFunc(in.waiting, func(v *waiter) bool { return v == w })
	w.share.isWaiting = false
	w.share.progressAt = time.Now()
}

// giveUpStalled gives up bodies without progress for those that wait, those that have made none for the longest
// time first. The caller holds the mutex.
func (in *Intake) giveUpStalled(now time.Time) {
	var stalled []*share
	for s := range in.reading {
		if s.size > 0 && s.isStalled(now) {
			stalled = append(stalled, s)
		}
	}
	if len(stalled) == 0 {
		return
	}
	slices.SortFunc(stalled, func(a, b *share) int { return cmp.Compare(a.progressAt.UnixNano(), b.progressAt.UnixNano()) })
	left := in.used.minus(in.leaving)
	for _, w := range in.waiting {
		for !in.fits(left, w) && len(stalled) > 0 {
			s := stalled[0]
			stalled = stalled[1:]
			in.giveUp(s)
			left = left.minus(usageOf(s.size))
		}
		if in.fits(left, w) {
			left = left.plus(w.change())
		}
	}
}

// giveUp ends the wait for the rest of a body. The caller holds the mutex.
func (in *Intake) giveUp(s *share) {
	s.isGivenUp = true
	in.leaving = in.leaving.plus(usageOf(s.size))
	s.body.Interrupt()
}
