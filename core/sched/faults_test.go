package sched_test

import (
	"fmt"
	"testing"
	"time"

	"currantport.example/core/hosts"
)

// TestFaultsDelayTheFleetLittle guards against a fetch that hangs, or takes several copies from the
// origin, if a second fault meets an outage: dead processes, corrupt pieces or a slow link.
func TestFaultsDelayTheFleetLittle(t *testing.T) {
	outage := func(f *fleet) { f.downFrom, f.downTo = 500*time.Millisecond, 6500*time.Millisecond }
	for name, c := range map[string]struct {
		prepare func(f *fleet)
		// latest is the time by which all live processes are complete, copies the limit of what
		// the origin sends.
		latest time.Duration
		copies float64
	}{
		"the origin doesn't respond in the outage": {func(f *fleet) { outage(f); f.hangs = true }, 9500 * time.Millisecond, 1.2},
		"a cut of 0.7 s": {func(f *fleet) { f.hangs, f.downFrom, f.downTo = true, time.Second/2, 1200*time.Millisecond }, 4500 * time.Millisecond, 1.2},
		// The links allow 8.4 s. All requests timed out repeatedly while timeouts and windows
		// went by the stated rate.
		"a quarter of the stated rate": {func(f *fleet) { f.origin.rate /= 4 }, 12 * time.Second, 1.5},
		"only corrupt pieces for 3 s":  {func(f *fleet) { f.corruptTo = 3 * time.Second }, 6500 * time.Millisecond, 2.3},
		// Agents forward the pieces to each other, for which their links need 5 s.
		"all entries are killed as it returns": {func(f *fleet) { outage(f); f.after(6700*time.Millisecond, f.kill) }, 16 * time.Second, 1.8},
		"all entries are killed in the outage": {func(f *fleet) { outage(f); f.after(3*time.Second, f.kill) }, 14 * time.Second, 1.2},
		// An entry that starts begins its own schedule. While it requested the remaining pieces
		// by that schedule, the fleet was complete only after 11 s.
		"all entries restart after the return": {func(f *fleet) { outage(f); f.after(7700*time.Millisecond, f.restart) }, 10500 * time.Millisecond, 1.3},
		"a third of the entries is killed": {func(f *fleet) {
			outage(f)
			f.after(3*time.Second, func() {
				for _, n := range f.nodes[:12] {
					n.dead = true
				}
			})
		}, 9500 * time.Millisecond, 1.2},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 34, 45, seed)
				c.prepare(f)
				f.play()
				copies := f.origin.bytes / fleetCopy
				t.Logf("fault=%q time=%v copies=%.2f refused=%d most=%d", name, f.now, copies, f.refused, f.mostSent)
				if f.now > c.latest || copies > c.copies {
					t.Errorf("%s: %v, %.2f copies from the origin", name, f.now, copies)
				}
			})
		}
	}
}

// kill ends all entries. The others learn of it after 1.5 s.
func (f *fleet) kill() {
	var agents []hosts.Host
	for _, n := range f.nodes {
		if n.dead = n.host.Role == hosts.RoleEntry; !n.dead {
			agents = append(agents, n.host)
		}
	}
	f.after(1500*time.Millisecond, func() {
		f.withoutEntries = true
		for _, n := range f.nodes {
			n.scheduler.SetMembers(agents)
		}
	})
}

// restart ends all entries, which start again 0.8 s later and hold nothing.
func (f *fleet) restart() {
	for _, n := range f.nodes {
		if n.host.Role != hosts.RoleEntry {
			continue
		}
		n.dead = true
		f.after(800*time.Millisecond, func() {
			n.dead = false
			f.replace(n, 0, f.now)
			f.loop(n)
		})
	}
}
