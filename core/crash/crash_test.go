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

// TestAnsweredRequestIsNotQuarantined has upstreams that ran an equal request crash one after the other, at
// two processes that tell each other. It guards against a sound request that is refused for minutes because
// it happened to run at two upstreams when they crashed.
func TestAnsweredRequestIsNotQuarantined(t *testing.T) {
	exchange := func(a, b *crash.Registry) {
		a.Merge("b", b.Export(100))
		b.Merge("a", a.Export(100))
	}
	crashOf := func(r *crash.Registry, q crash.Request, upstream string) {
		r.RecordLoss(q, upstream, time.Now())
		time.Sleep(50 * time.Millisecond)
		r.RecordCrash(upstream, "connection refused")
	}
	for name, c := range map[string]struct {
		// answered is how often an upstream answers the request between the crashes, late whether one does after
		// the last of them only, afterwards how many crashes follow.
		answered    int
		late        bool
		afterwards  int
		quarantined bool
	}{
		"answered in between":            {answered: 3},
		"never answered":                 {quarantined: true},
		"answered by one that runs it":   {late: true},
		"two more crashes":               {answered: 1, afterwards: 1, quarantined: true},
		"two more after a late response": {late: true, afterwards: 2, quarantined: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			a, b := crash.NewRegistry(zap.NewNop()), crash.NewRegistry(zap.NewNop())
			crashOf(a, poison, "u1")
			exchange(a, b)
			time.Sleep(time.Second)
			for range c.answered {
				a.RecordAnswer(poison)
				time.Sleep(time.Second)
			}
			exchange(a, b)
			crashOf(b, poison, "u2")
			exchange(a, b)
			time.Sleep(time.Second)
			if c.late {
				a.RecordAnswer(poison)
				time.Sleep(time.Second)
				exchange(a, b)
			}
			for i := range c.afterwards {
				crashOf(a, poison, fmt.Sprint("u", 3+i))
				exchange(a, b)
				time.Sleep(time.Second)
			}
			exchange(a, b)
			started := crash.NewRegistry(zap.NewNop())
			exchange(started, b)
			for at, r := range map[string]*crash.Registry{"a": a, "b": b, "a new process": started} {
				if got := r.IsQuarantined(poison); got != c.quarantined {
					t.Errorf("%s, at %s: quarantined %t", name, at, got)
				}
			}
		})
	}
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
