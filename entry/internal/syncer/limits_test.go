package syncer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"currantport.example/core/quota"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/syncer"
	"currantport.example/entry/internal/target"
)

// TestLimitsSurviveTheWire converts limits to messages and back, and bounds the size of one.
func TestLimitsSurviveTheWire(t *testing.T) {
	all := []target.UpstreamLimit{
		{ID: "i-7f3a91c2", Started: time.UnixMicro(1790000000123456), Limit: quota.Limit{Rate: 1.5, Serial: 3}},
		{ID: "i-0", Limit: quota.Limit{Serial: 4}},
		{ID: "i-1", Cold: 4321 * time.Millisecond, Unsure: true},
	}
	encoded := syncer.EncodeLimits(all)
	data, err := proto.Marshal(&wire.Shares{Limits: encoded})
	if err != nil {
		t.Fatal(err)
	}
	var m wire.Shares
	if err := proto.Unmarshal(data, &m); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(all, syncer.DecodeLimits(m.Limits)); d != "" {
		t.Error(d)
	}
	if size := proto.Size(encoded[0]); size > 40 {
		t.Errorf("a limit takes %d bytes", size)
	}
	t.Logf("ask %d bytes, grant %d bytes", proto.Size(&wire.Datagram{Body: &wire.Datagram_Asks{Asks: &wire.Asks{Name: "edge-may-pen-a-1", Asks: []*wire.Ask{{Limit: encoded[0], Count: 1, Stamp: 1 << 40}}}}}),
		proto.Size(&wire.Datagram{Body: &wire.Datagram_Grants{Grants: &wire.Grants{Grants: []*wire.Grant{{Limit: encoded[0], Count: 1, Stamp: 1 << 40}}}}}))
}

// TestAsksOfManyLimitsReachTheirOwner has an entry ask one owner for the limits of a fleet. A datagram
// that is too long reaches no entry.
func TestAsksOfManyLimitsReachTheirOwner(t *testing.T) {
	const fleet, maxDatagramBytes = 12000, 16 << 10
	var asks []target.Ask
	for i := range fleet {
		asks = append(asks, target.Ask{
			Limit: target.UpstreamLimit{ID: fmt.Sprintf("i-%010d", i), Started: time.Unix(1e9, 0), Limit: quota.Limit{Rate: 1.5, Serial: 1e18}}, Count: 9, Stamp: time.Hour,
		})
	}
	sent := 0
	for _, d := range syncer.AskMessages("edge", asks) {
		sent += len(d.GetAsks().GetAsks())
		if n := proto.Size(d); n > maxDatagramBytes/2 {
			t.Fatalf("a message of %d bytes; the response is longer", n)
		}
	}
	if sent != fleet {
		t.Errorf("%d of %d asks are sent", sent, fleet)
	}
}
