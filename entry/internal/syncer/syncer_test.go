package syncer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"currantport.example/core/hosts"
	"currantport.example/core/state"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/syncer"
	"currantport.example/entry/internal/target"
)

// TestEntryLoadMessageRateIsBounded bounds the messages that an entry sends, for regions of any
// size, and keeps two of them within the time for which one is valid.
func TestEntryLoadMessageRateIsBounded(t *testing.T) {
	const maxRate, ttl = 200, 400 * time.Millisecond
	for _, entries := range []int{0, 1, 2, 8, 16, 40} {
		d := syncer.EntryLoadInterval(entries)
		if rate := float64(entries) / d.Seconds(); rate > maxRate {
			t.Errorf("%d entries: %.0f messages a second", entries, rate)
		}
		if d < 40*time.Millisecond || 2*d > ttl {
			t.Errorf("%d entries: %s between two messages, each valid for %s", entries, d, ttl)
		}
	}
}

// TestLeavingUpstreamsAreToldWhileTheFleetIsBusy has a failure domain of upstreams leave at once while
// one entry has requests at all upstreams of a fleet. A datagram that is too long reaches no entry.
func TestLeavingUpstreamsAreToldWhileTheFleetIsBusy(t *testing.T) {
	const fleet, leavingCount, maxDatagramBytes = 12000, 2000, 16 << 10
	const interval, announceTime = 40 * time.Millisecond, 2 * time.Second
	start := time.Unix(1e9, 0)
	var rows []state.Row
	var leaving []target.LeavingUpstream
	encode := func(r state.Row, err error) {
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, r)
	}
	encode(state.EncodePool(&state.Pool{Name: "s"}))
	for i := range fleet {
		u := &state.Upstream{ID: fmt.Sprintf("i-%010d", i), Pool: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "d0", Started: start}
		encode(state.EncodeUpstream(u))
		if i < leavingCount {
			leaving = append(leaving, target.LeavingUpstream{ID: u.ID, Started: start})
		}
	}
	var b state.Builder
	snapshot, _ := b.Apply(1, rows)
	newFleet := func() *target.Fleet {
		f := target.New(target.Options{Entries: func() []hosts.Host { return nil }, Random: func() float64 { return 0.5 }, Log: zap.NewNop()})
		f.ApplySnapshot(start, snapshot)
		return f
	}
	sender, receiver := newFleet(), newFleet()
	sender.ReceiveLeaving(start, "other", leaving)
	for range 1500 {
		f := sender.ChoosePlain(start, toPlain())
		f.RecordLimit(start, 100, true)
		defer f.Finish(start, target.OutcomeSuccess)
	}
	for now := start; now.Before(start.Add(announceTime)); now = now.Add(interval) {
		m := syncer.EntryLoadMessage(now, "e0", sender)
		if n := proto.Size(&wire.Datagram{Body: &wire.Datagram_Shares{Shares: m}}); n > maxDatagramBytes {
			t.Fatalf("a message of %d bytes, with %d loads, %d upstreams that leave, %d limits", n, len(m.Shares), len(m.Leaving), len(m.Limits))
		}
		syncer.ReceiveEntryLoads(receiver, m)
	}
	for _, l := range leaving {
		if !receiver.IsLeaving(l.ID) {
			t.Fatalf("%s isn't known to leave", l.ID)
		}
	}
}

// toPlain returns the requirements of a request to the plain service "s".
func toPlain() target.Requirements { return target.Requirements{Pool: &state.Pool{Name: "s"}} }

// TestEngineThatLoadsOrIsAboutToIsClosed guards against requests to an engine whose agent reports either.
func TestEngineThatLoadsOrIsAboutToIsClosed(t *testing.T) {
	for _, l := range []*wire.LoadDigest{{}, {Busy: true}, {Closing: true}, {Busy: true, Closing: true}} {
		if got := syncer.DecodeLoadReport(l).Closed; got != (l.Busy || l.Closing) {
			t.Errorf("busy %t, closing %t: closed %t", l.Busy, l.Closing, got)
		}
	}
}
