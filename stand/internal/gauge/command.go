// Package gauge measures the overhead of the system per request. In one run it sends the
// same requests directly to an engine and through an entry and its agent.
package gauge

import (
	"context"
	"fmt"
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
	entry, err := findTarget(p, "entry")
	if err != nil {
		return err
	}
	agent, err := findTarget(p, "agent")
	if err != nil {
		return err
	}
	g := gauge{client: client, entry: entry, agent: agent}
	return g.run(ctx)
}

// target is the address of a program and of the upstream beside it.
type target struct {
	address  netip.AddrPort
	upstream netip.AddrPort
}

// findTarget returns the first host of a role that isn't plain.
func findTarget(p plan.Plan, role string) (target, error) {
	for _, h := range p.Hosts {
		if h.Role == role && h.Kind != "plain" {
			return target{address: h.Address, upstream: h.Upstream}, nil
		}
	}
	return target{}, fmt.Errorf("the plan has no host of role %s with an engine", role)
}
