package crash_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"currantport.example/core/crash"
	"currantport.example/core/wire"
)

// stormy returns a registry with crashes of a number of upstreams, each under 16 requests with three
// parts of a number of distinct ones, as after a storm that a part of few requests causes.
func stormy(upstreams, distinct int) *crash.Registry {
	r := crash.NewRegistry(zap.NewNop())
	for i := range upstreams {
		id := fmt.Sprint("i-", 1000000000+i)
		for k := range 16 {
			n := i*16 + k
			q := crash.NewRequest(fmt.Sprint("/", n), "key", nil, []string{"system", fmt.Sprint("a", n%distinct), fmt.Sprint("b", n*7%distinct)})
			r.RecordLoss(q, id, time.Now().Add(-startTime))
		}
		r.RecordCrash(id, "connection refused")
	}
	return r
}

func BenchmarkStorm(b *testing.B) {
	for _, c := range []struct{ upstreams, distinct int }{{16, 32}, {80, 64}, {80, 1024}, {256, 1024}} {
		r := stormy(c.upstreams, c.distinct)
		name := fmt.Sprintf("%d upstreams, %d parts", c.upstreams, c.distinct)
		sound := crash.NewRequest("/sound", "key", nil, []string{"fine"})
		b.Run("request/"+name, func(b *testing.B) {
			for b.Loop() {
				r.IsQuarantined(sound)
			}
		})
		b.Run("export/"+name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = proto.Size(&wire.Gossip{Marks: r.Export(32)})
			}
			b.ReportMetric(float64(size), "bytes")
		})
		b.Run("survival of a suspect/"+name, func(b *testing.B) {
			r := stormy(c.upstreams, c.distinct)
			n := 0
			for b.Loop() {
				r.RecordSurvival(crash.NewRequest("/", "key", nil, []string{fmt.Sprint("a", n%c.distinct)}))
				if n++; n%c.distinct == 0 {
					b.StopTimer()
					r = stormy(c.upstreams, c.distinct)
					b.StartTimer()
				}
			}
		})
		b.Run("crash/"+name, func(b *testing.B) {
			n := 0
			for b.Loop() {
				b.StopTimer()
				r := stormy(c.upstreams, c.distinct)
				id := fmt.Sprint("next", n)
				n++
				for k := range 16 {
					r.RecordLoss(crash.NewRequest(fmt.Sprint("/", k), "key", nil, []string{"system", fmt.Sprint("a", k%c.distinct)}), id, time.Now())
				}
				b.StartTimer()
				r.RecordCrash(id, "connection refused")
			}
		})
		b.Run("merge of survivals/"+name, func(b *testing.B) {
			n := 0
			for b.Loop() {
				b.StopTimer()
				r := stormy(c.upstreams, c.distinct)
				var marks []*wire.CrashMark
				for range 4 {
					f := crash.PartOf(fmt.Sprint("a", n%c.distinct))
					n++
					marks = append(marks, &wire.CrashMark{Fingerprint: f[:], Part: 1, Survived: true})
				}
				b.StartTimer()
				r.Merge("peer", marks)
			}
		})
	}
}
