// Package clocks provides the clock for ages and deadlines.
//
// The monotonic clock of a process stops while its machine is suspended, so that state from
// before the suspension would seem younger than it is. Now adds the time of all suspensions
// since the process started. Steps of the time of day don't affect it.
package clocks

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the smallest difference between the clocks that counts as a suspension.
// Smaller ones arise because the clocks are read one after the other.
const minSuspension = 20 * time.Millisecond

// Now returns the time for ages and deadlines. Two results differ by the time that has passed
// between the calls, suspensions included.
func Now() time.Time { return time.Now().Add(processOffset().suspended()) }

// Since returns the time that has passed since t, a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// bootOffset is how far CLOCK_BOOTTIME, which counts suspensions, was ahead of CLOCK_MONOTONIC,
// which doesn't, when the process first read them.
type bootOffset struct{ initial time.Duration }

var processOffset = sync.OnceValue(func() bootOffset { return bootOffset{initial: currentOffset()} })

func (o bootOffset) suspended() time.Duration {
	if s := currentOffset() - o.initial; s > minSuspension {
		return s
	}
	return 0
}

// currentOffset returns the present difference, or zero if the kernel lacks one of the clocks.
func currentOffset() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// Sleep waits for a duration. It returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
