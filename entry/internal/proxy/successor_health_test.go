package proxy_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"currantport.example/core/clocks"
)

// TestLostUpstreamDoesNotCountAsSlowForAnother has the silent upstream close its connection and another one respond later.
func TestLostUpstreamDoesNotCountAsSlowForAnother(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		if v.number == 0 {
			time.Sleep(250 * time.Millisecond)
			return
		}
		time.Sleep(2 * time.Second)
		framingLength.write(w, v.id, numbered(1))
	}, func(w *world) {
		w.request(context.Background(), "/any/x")
		e, err := w.handler.Explain(question)
		if err != nil {
			t.Fatal(err)
		}
		first := fmt.Sprint("u", w.received()[0].upstream)
		for _, c := range e.Pools[0].Candidates {
			if c.Row.ID == first && c.Predicted > 0 {
				t.Errorf("%s was lost after 250 ms and is taken for one with a latency of %v", first, c.Predicted)
			}
		}
	})
}

// TestSilentSuccessorCountsAsSilent has both upstreams be silent to the end.
func TestSilentSuccessorCountsAsSilent(t *testing.T) {
	play(t, 2, func(_ io.Writer, v visit) { <-v.ended }, func(w *world) {
		w.request(context.Background(), "/any/x")
		time.Sleep(20 * time.Millisecond)
		e, err := w.handler.Explain(question)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range e.Pools[0].Candidates {
			if len(c.Costs) == 0 {
				t.Errorf("%s was silent and counts as sound", c.Row.ID)
			}
		}
	})
}

// TestDroppedAttemptsAreCounted counts the attempts in log and metrics.
func TestDroppedAttemptsAreCounted(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	playLogged(t, 6, plenty, zap.New(core), func(w io.Writer, v visit) {
		if v.number == 0 {
			time.Sleep(silence)
			framingLength.write(w, v.id, numbered(1))
			return
		}
		<-v.ended
	}, func(w *world) {
		a := w.request(context.Background(), "/many/x")
		time.Sleep(50 * time.Millisecond)
		total := int64(0)
		repeats := int64(0)
		for _, c := range w.scope.Snapshot().Counters() {
			switch c.Name() {
			case "attempts":
				total += c.Value()
			case "repeats":
				repeats += c.Value()
			}
		}
		n := len(w.received())
		if int(total) != n || int(repeats) != n-1 {
			t.Errorf("status %d: %d upstreams got the request, %d attempts and %d repeats are counted, %d lines", a.Code, n, total, repeats, logged.FilterMessage("attempt").Len())
		}
	})
}

// TestPlaceOfAnEndedAttemptIsFreeWhileOthersAreAwaited has the silent upstream decline while another one is silent.
func TestPlaceOfAnEndedAttemptIsFreeWhileOthersAreAwaited(t *testing.T) {
	play(t, 2, func(w io.Writer, v visit) {
		if v.number == 0 {
			time.Sleep(300 * time.Millisecond)
			declined(w, v.id)
			return
		}
		<-v.ended
	}, func(w *world) {
		time.AfterFunc(2*time.Second, func() {
			if loads := w.fleet.EntryLoads(clocks.Now()); len(loads) != 1 {
				t.Errorf("1.7 s after an upstream declined: %+v", loads)
			}
		})
		w.request(context.Background(), "/any/x")
	})
}
