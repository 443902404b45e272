// Package clocks reads the clock by which ages are measured.
//
// The monotonic clock of a process stands still while its machine is suspended,
// so that what was learned before would seem younger than it is. Now adds the time
// of all suspensions since the start of the process. Steps of the time of day
// don't affect it.
package clocks

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// suspendLeast is the least difference between the clocks that counts as a
// suspension. Smaller ones come from reading one clock after the other.
const suspendLeast = 20 * time.Millisecond

// Now returns the time for ages and deadlines. Two results differ by the time that
// has passed between the calls, suspensions included.
func Now() time.Time { return time.Now().Add(started().suspended()) }

// Since returns the time that has passed since a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// drift is the difference between the clocks that do and don't count suspensions.
type drift struct{ first time.Duration }

var started = sync.OnceValue(func() drift { return drift{first: difference()} })

func (d drift) suspended() time.Duration {
	if s := difference() - d.first; s > suspendLeast {
		return s
	}
	return 0
}

// difference returns zero if the kernel doesn't offer the clocks.
func difference() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// Sleep waits for a time. It returns false if the context ends before.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
