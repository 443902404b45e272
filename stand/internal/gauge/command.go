// Package gauge measures the overhead of the system per request. In one run it sends the
// same requests directly to an engine and through an entry and its agent.
package gauge

import (
	"context"
	"net/netip"

	"currantport.example/core/links"
	"currantport.example/stand/internal/plan"
)

// NewCommand returns the command that measures a running demonstration.
func NewCommand() *plan.MeasureCommand {
	return plan.NewMeasureCommand("gauge", "measure the overhead of the system per request", run)
}

func run(ctx context.Context, p plan.Plan) error {
	client, stop := links.NewClient(nil)
	defer stop()
	g := gauge{client: client, entry: findTarget(p, "entry"), agent: findTarget(p, "agent")}
	return g.run(ctx)
}

// target is the address of a program and of the upstream beside it.
type target struct {
	address  netip.AddrPort
	upstream netip.AddrPort
}

// findTarget returns the first host of a role that isn't plain, or the zero value.
func findTarget(p plan.Plan, role string) target {
	for _, h := range p.Hosts {
		if h.Role == role && h.Kind != "plain" {
			return target{address: h.Address, upstream: h.Upstream}
		}
	}
	return target{}
}
