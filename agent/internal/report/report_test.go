package report_test

import (
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantport.example/agent/internal/loader"
	"currantport.example/agent/internal/report"
	"currantport.example/core/state"
	"currantport.example/core/wire"
)

// agent is a source of reports on an idle engine, and the mesh that collects them.
type agent struct {
	released time.Time
	// standstill is how long the agent stands still once it has read the state of the engine.
	standstill time.Duration

	mutex sync.Mutex
	sent  []*wire.LoadDigest
	// readAt is when the state was last read, longest the longest time until a report of it was sent.
	readAt  time.Time
	longest time.Duration
}

// take returns what was sent since the last call.
func (a *agent) take() []*wire.LoadDigest {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	sent := a.sent
	a.sent = nil
	return sent
}

// Report implements report.Source.
func (a *agent) Report() (loader.Report, bool) {
	a.mutex.Lock()
	a.readAt = time.Now()
	standstill := a.standstill
	a.standstill = 0
	a.mutex.Unlock()
	time.Sleep(standstill)
	return loader.Report{Row: &state.Upstream{ID: "u1"}, Releases: []state.Release{{Model: "m", Version: 2, NotBefore: a.released}}}, true
}

// Send implements report.Mesh.
func (a *agent) Send(d *wire.Datagram, to ...netip.AddrPort) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(to) > 0 {
		a.longest = max(a.longest, time.Since(a.readAt))
		a.sent = append(a.sent, d.GetLoad())
	}
}

// TestRestartedEntryLearnsReleasesAtOnce has an entry subscribe, and again after a restart. It guards
// against reports that ignore the field First: the entry would get the next one of an idle engine up to
// 1.2 s later.
func TestRestartedEntryLearnsReleasesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &agent{released: time.Now()}
		r := report.New()
		defer r.Start(a, a)()
		for range 2 {
			time.Sleep(1500 * time.Millisecond)
			a.take()
			r.ReceiveSubscription(netip.MustParseAddrPort("10.0.0.2:80"), &wire.Interest{Name: "e0", First: true})
			time.Sleep(time.Millisecond)
			synctest.Wait()
			sent := a.take()
			if len(sent) == 0 {
				t.Error("no report right after the subscription")
				continue
			}
			got := sent[0].Releases
			if age := time.Since(a.released) - time.Millisecond; len(got) != 1 || got[0].Model != "m" || got[0].Version != 2 || got[0].Age != age.Microseconds() {
				t.Errorf("releases %v, want version 2 of m after %v", got, age)
			}
		}
	})
}

// TestStateReadBeforeAStandstillIsNotReported has the agent stand still between reading the state of its engine and
// sending it. Entries take the state in a report for one of the last second.
func TestStateReadBeforeAStandstillIsNotReported(t *testing.T) {
	for _, standstill := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			a := &agent{released: time.Now()}
			r := report.New()
			defer r.Start(a, a)()
			// Between two polls.
			time.Sleep(110 * time.Millisecond)
			a.mutex.Lock()
			a.standstill = standstill
			a.mutex.Unlock()
			r.ReceiveSubscription(netip.MustParseAddrPort("10.0.0.2:80"), &wire.Interest{Name: "e0", First: true})
			time.Sleep(standstill + time.Millisecond)
			synctest.Wait()
			if sent := len(a.take()); sent == 0 || a.longest > 200*time.Millisecond {
				t.Errorf("stood still for %v: %d reports, the oldest state was read %v before", standstill, sent, a.longest)
			}
		})
	}
}
