// Package gauge measures what the system adds to a request: the same calls go
// straight to an engine and through an entry and its agent, in one run.
package gauge

import (
	"context"
	"net/netip"

	"currantport.example/core/links"
	"currantport.example/stand/internal/plan"
)

// NewCommand returns the command that measures a running demonstration.
func NewCommand() *plan.MeasureCommand {
	return plan.NewMeasureCommand("gauge", "measure what the system adds to a request", run)
}

func run(ctx context.Context, p plan.Plan) error {
	client, stop := links.NewClient(nil)
	defer stop()
	g := gauge{client: client, entry: first(p, "entry"), agent: first(p, "agent")}
	return g.run(ctx)
}

// pair is the address of a program and of the upstream beside it.
type pair struct {
	address  netip.AddrPort
	upstream netip.AddrPort
}

func first(p plan.Plan, role string) pair {
	for _, h := range p.Hosts {
		if h.Role == role && h.Kind != "plain" {
			return pair{address: h.Address, upstream: h.Upstream}
		}
	}
	return pair{}
}
