package syncer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"currantport.example/core/clocks"
	"currantport.example/core/hosts"
	"currantport.example/core/mesh"
	"currantport.example/core/quota"
	"currantport.example/core/wire"
	"currantport.example/entry/internal/target"
)

// maxAnnouncedLimits bounds the limits in an entry load message.
const maxAnnouncedLimits = 32

// maxAsks bounds the asks in a message, so that the grants fit into one too.
const maxAsks = 100

// asker asks the owners of limits for the requests that wait.
type asker struct {
	self  hosts.Name
	fleet *target.Fleet
	mesh  *mesh.Node
}

func (a *asker) run(ctx context.Context) {
	for {
		select {
		case <-a.fleet.Asks():
		case <-ctx.Done():
			return
		}
		for owner, asks := range a.fleet.TakeAsks(clocks.Now()) {
			if m, ok := a.mesh.Find(owner); ok {
				for _, d := range AskMessages(a.self, asks) {
					a.mesh.Send(d, m.Address)
				}
			}
		}
	}
}

// LimitHandlers returns the handlers of messages about the limits of upstreams.
func LimitHandlers(f *target.Fleet, n *mesh.Node) mesh.Handlers {
	return mesh.Handlers{
		Limits: func(from hosts.Name, all []*wire.Limit) { f.ReceiveLimits(clocks.Now(), from, DecodeLimits(all)) },
		ExportLimits: func(most int) []*wire.Limit {
			return EncodeLimits(f.Limits(clocks.Now(), most))
		},
		Asks: func(from netip.AddrPort, m *wire.Asks) {
			if grants := f.ReceiveAsks(clocks.Now(), hosts.Name(m.Name), decodeAsks(m)); len(grants) > 0 {
				n.Send(&wire.Datagram{Body: &wire.Datagram_Grants{Grants: encodeGrants(grants)}}, from)
			}
		},
		Grants: func(_ netip.AddrPort, m *wire.Grants) { f.ReceiveGrants(clocks.Now(), decodeGrants(m)) },
	}
}

// EncodeLimits returns the wire form of limits.
func EncodeLimits(all []target.UpstreamLimit) []*wire.Limit {
	var encoded []*wire.Limit
	for _, l := range all {
		encoded = append(encoded, encodeLimit(l))
	}
	return encoded
}

func encodeLimit(l target.UpstreamLimit) *wire.Limit {
	return &wire.Limit{Upstream: l.ID, Started: startMicros(l.Started), Rate: l.Limit.Rate, Serial: l.Limit.Serial, Cold: coldMillis(l.Cold), Unsure: l.Unsure}
}

// DecodeLimits returns the limits of a wire form.
func DecodeLimits(all []*wire.Limit) []target.UpstreamLimit {
	var decoded []target.UpstreamLimit
	for _, l := range all {
		decoded = append(decoded, decodeLimit(l))
	}
	return decoded
}

func decodeLimit(l *wire.Limit) target.UpstreamLimit {
	return target.UpstreamLimit{
		ID: l.GetUpstream(), Started: startTime(l.GetStarted()), Limit: quota.Limit{Rate: l.GetRate(), Serial: l.GetSerial()},
		Cold: time.Duration(l.GetCold()) * time.Millisecond, Unsure: l.GetUnsure(),
	}
}

// coldMillis returns a cold time in milliseconds, rounded up so that it isn't shorter at its receiver.
func coldMillis(d time.Duration) uint32 {
	// A day is longer than any cold time, and its milliseconds fit into the field.
	const most = 24 * time.Hour
	return uint32((min(max(d, 0), most) + time.Millisecond - 1) / time.Millisecond)
}

// AskMessages returns the messages to one owner.
func AskMessages(self hosts.Name, asks []target.Ask) []*wire.Datagram {
	var all []*wire.Datagram
	for part := range slices.Chunk(asks, maxAsks) {
		all = append(all, &wire.Datagram{Body: &wire.Datagram_Asks{Asks: encodeAsks(self, part)}})
	}
	return all
}

func encodeAsks(self hosts.Name, asks []target.Ask) *wire.Asks {
	m := &wire.Asks{Name: string(self)}
	for _, a := range asks {
		m.Asks = append(m.Asks, &wire.Ask{Limit: encodeLimit(a.Limit), Count: uint32(a.Count), Stamp: uint64(a.Stamp)})
	}
	return m
}

func decodeAsks(m *wire.Asks) []target.Ask {
	var all []target.Ask
	for _, a := range m.Asks {
		all = append(all, target.Ask{Limit: decodeLimit(a.Limit), Count: int(a.Count), Stamp: time.Duration(a.Stamp)})
	}
	return all
}

func encodeGrants(grants []target.Grant) *wire.Grants {
	m := &wire.Grants{}
	for _, g := range grants {
		m.Grants = append(m.Grants, &wire.Grant{
			Limit: encodeLimit(g.Limit), Count: uint32(g.Count), Wait: uint32(g.Wait.Milliseconds()), Stamp: uint64(g.Stamp),
		})
	}
	return m
}

func decodeGrants(m *wire.Grants) []target.Grant {
	var all []target.Grant
	for _, g := range m.Grants {
		all = append(all, target.Grant{
			Limit: decodeLimit(g.Limit), Count: int(g.Count), Wait: time.Duration(g.Wait) * time.Millisecond, Stamp: time.Duration(g.Stamp),
		})
	}
	return all
}
