package crash_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/crash"
	"currantport.example/core/wire"
)

var poison, other = crash.NewRequest("/x", "key", []byte("poison"), nil), crash.NewRequest("/x", "key", []byte("other"), nil)

func TestRequestIsQuarantinedAtThreshold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := crash.NewRegistry(zap.NewNop())
		for i, up := range []string{"a", "b"} {
			if r.IsQuarantined(poison) {
				t.Errorf("quarantined after %d crashes", i)
			}
			r.RecordLoss(poison, up, time.Now())
			r.RecordLoss(other, "a", time.Now())
			r.RecordCrash(up, "connection refused")
		}
		if !r.IsQuarantined(poison) || r.IsQuarantined(other) {
			t.Errorf("quarantined: poison %t, other %t", r.IsQuarantined(poison), r.IsQuarantined(other))
		}
		time.Sleep(6 * time.Minute)
		if r.IsQuarantined(poison) {
			t.Error("quarantined permanently")
		}
	})
}

func TestLostResponseAloneIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := crash.NewRegistry(zap.NewNop())
		for _, up := range []string{"a", "b", "c"} {
			r.RecordLoss(poison, up, time.Now())
		}
		time.Sleep(20 * time.Second)
		for _, up := range []string{"a", "b", "c"} {
			r.RecordCrash(up, "process restarted")
		}
		if r.IsQuarantined(poison) {
			t.Error("a crash long after a lost response counts")
		}
	})
}

func TestLossesBesideAPoisonousPartDontCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := crash.NewRegistry(zap.NewNop())
		for _, up := range []string{"a", "b", "c", "d"} {
			r.RecordLoss(crash.NewRequest("/"+up, "key", nil, []string{"bad"}), up, time.Now())
			r.RecordLoss(other, up, time.Now())
			r.RecordCrash(up, "connection refused")
			time.Sleep(time.Second)
		}
		if !r.IsQuarantined(crash.NewRequest("/e", "key", nil, []string{"bad"})) {
			t.Error("the part isn't quarantined")
		}
		if r.IsQuarantined(other) {
			t.Error("a request is quarantined for crashes that the part of others explains")
		}
	})
}

func TestMergedMarksAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := crash.NewRegistry(zap.NewNop()), crash.NewRegistry(zap.NewNop())
		one.RecordLoss(poison, "a", time.Now())
		if n := len(one.Export(16)); n != 0 {
			t.Errorf("%d marks without evidence are exported", n)
		}
		one.RecordCrash("a", "connection refused")
		two.RecordLoss(poison, "b", time.Now())
		two.RecordCrash("b", "connection refused")
		for range 3 {
			two.Merge("one", one.Export(16))
		}
		if !two.IsQuarantined(poison) || one.IsQuarantined(poison) {
			t.Error("marks of two entries don't add up")
		}
		if n := len(two.Export(1)); n != 1 {
			t.Errorf("%d marks, want 1", n)
		}
	})
}

// TestFloodOfLossesDoesNotHideARepeatedCrash ends many upstreams with all their requests, some of
// them before a request that crashes each upstream and some after its first crash.
func TestFloodOfLossesDoesNotHideARepeatedCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := crash.NewRegistry(zap.NewNop())
		flood := func(group string) {
			for i := range 6000 {
				up := fmt.Sprint(group, i/20)
				r.RecordLoss(crash.NewRequest(fmt.Sprint("/", group, i), "key", nil, nil), up, time.Now())
				if i%20 == 19 {
					r.RecordCrash(up, "connection refused")
				}
			}
		}
		flood("before")
		for _, up := range []string{"a", "b"} {
			time.Sleep(time.Second)
			r.RecordLoss(poison, up, time.Now())
			r.RecordCrash(up, "connection refused")
			if up == "a" {
				time.Sleep(time.Second)
				for i := range 1000 {
					r.RecordLoss(crash.NewRequest(fmt.Sprint("/after", i), "key", nil, nil), "c", time.Now())
				}
			}
		}
		if !r.IsQuarantined(poison) {
			t.Error("a request that has crashed two upstreams isn't refused")
		}
	})
}

// TestFloodOfMarksDoesNotReleaseARequest has a registry filled with marks of other processes after a
// request was quarantined.
func TestFloodOfMarksDoesNotReleaseARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := crash.NewRegistry(zap.NewNop())
		for _, up := range []string{"a", "b"} {
			r.RecordLoss(poison, up, time.Now())
			r.RecordCrash(up, "connection refused")
		}
		for i := range 20000 {
			f := crash.FingerprintOf(fmt.Sprint("/", i), "key", nil)
			r.Merge("peer", []*wire.CrashMark{{Fingerprint: f[:], Upstream: "c"}})
			if i%1000 == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if !r.IsQuarantined(poison) {
			t.Error("a request that has crashed two upstreams is no longer refused")
		}
		last := crash.FingerprintOf("/19999", "key", nil)
		r.Merge("peer", []*wire.CrashMark{{Fingerprint: last[:], Upstream: "d"}})
		if !r.IsQuarantined(crash.NewRequest("/19999", "key", nil, nil)) {
			t.Error("a request whose marks arrived last isn't refused")
		}
	})
}
