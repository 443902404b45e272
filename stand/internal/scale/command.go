// Package scale measures a fleet of real processes while its tables change: the time until
// a change is active at all of them, and the resources that each process uses.
package scale

import (
	"context"

	"currantport.example/core/links"
	"currantport.example/stand/internal/plan"
)

// NewCommand returns the command that measures a running fleet.
func NewCommand() *plan.MeasureCommand {
	return plan.NewMeasureCommand("scale", "measure a running fleet while its tables change", run)
}

func run(ctx context.Context, p plan.Plan) error {
	client, stopClient := links.NewClient(nil)
	defer stopClient()
	peers, stopPeers := links.NewPeerClient(nil)
	defer stopPeers()
	s := &scale{plan: p, client: client, peers: peers}
	return s.run(ctx)
}
