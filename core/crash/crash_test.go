package crash_test

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/crash"
)

var poison, other = crash.FingerprintOf("/x", "key", []byte("poison")), crash.FingerprintOf("/x", "key", []byte("other"))

func TestRequestIsRefusedAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := crash.NewRegistry(zap.NewNop())
		for i, up := range []string{"a", "b"} {
			if b.IsQuarantined(poison) {
				t.Errorf("refused after %d crashes", i)
			}
			b.RecordLoss(poison, up)
			b.RecordLoss(other, "a")
			b.RecordCrash(up, "connection refused")
		}
		if !b.IsQuarantined(poison) || b.IsQuarantined(other) {
			t.Errorf("refused: poison %t, other %t", b.IsQuarantined(poison), b.IsQuarantined(other))
		}
		time.Sleep(6 * time.Minute)
		if b.IsQuarantined(poison) {
			t.Error("refused for ever")
		}
	})
}

func TestLostAnswerAloneIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := crash.NewRegistry(zap.NewNop())
		for _, up := range []string{"a", "b", "c"} {
			b.RecordLoss(poison, up)
		}
		time.Sleep(20 * time.Second)
		for _, up := range []string{"a", "b", "c"} {
			b.RecordCrash(up, "new start")
		}
		if b.IsQuarantined(poison) {
			t.Error("a crash long after a lost answer counts")
		}
	})
}

func TestMarksReachOtherEntriesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := crash.NewRegistry(zap.NewNop()), crash.NewRegistry(zap.NewNop())
		one.RecordLoss(poison, "a")
		if n := len(one.Spread(16)); n != 0 {
			t.Errorf("%d marks without evidence are told", n)
		}
		one.RecordCrash("a", "connection refused")
		two.RecordLoss(poison, "b")
		two.RecordCrash("b", "connection refused")
		for range 3 {
			two.Take("one", one.Spread(16))
		}
		if !two.IsQuarantined(poison) || one.IsQuarantined(poison) {
			t.Error("marks of two entries don't add up")
		}
		if n := len(two.Spread(1)); n != 1 {
			t.Errorf("%d marks where one was asked for", n)
		}
	})
}
