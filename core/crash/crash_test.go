package crash_test

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/crash"
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
