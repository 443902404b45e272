// Package parts builds the components that all serving programs share: log, audit
// trail, clients, metrics and relay.
package parts

import (
	"net/http"
	"os"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"currantport.example/core/audit"
	"currantport.example/core/edges"
	"currantport.example/core/hosts"
	"currantport.example/core/links"
	"currantport.example/core/logs"
	"currantport.example/core/meter"
	"currantport.example/core/relay"
	"currantport.example/core/roster"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
)

// PeerClient calls the system's own processes.
type PeerClient struct{ *http.Client }

// ExternalClient calls external systems.
type ExternalClient struct{ *http.Client }

// Metrics holds the metrics scope of the process and the handler that exports it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

// Options returns the components of a program with the role and the settings.
func Options(role hosts.Role, common shell.Common) fx.Option {
	return fx.Options(
		fx.Supply(role, common, links.SystemNetwork(), &tables.Active{}),
		fx.Provide(newLog, audit.NewTrail, newPeerClient, newExternalClient, newMetrics, roster.New, newNode),
	)
}

func newLog(lc fx.Lifecycle, c shell.Common) (*zap.Logger, error) {
	l, stop, err := logs.New(os.Stderr, c.Level)
	if err != nil {
		return nil, err
	}
	return shell.WithCleanup(lc, l.With(zap.String("host", string(c.Host))), stop), nil
}

func newPeerClient(lc fx.Lifecycle, n links.Network) PeerClient {
	c, stop := links.NewPeerClient(n.Dial)
	return shell.WithCleanup(lc, PeerClient{c}, stop)
}

func newExternalClient(lc fx.Lifecycle, n links.Network) ExternalClient {
	c, stop := links.NewClient(n.Dial)
	return shell.WithCleanup(lc, ExternalClient{c}, stop)
}

func newMetrics(lc fx.Lifecycle, role hosts.Role) Metrics {
	scope, handler, stop := meter.New(string(role))
	return shell.WithCleanup(lc, Metrics{Scope: scope, Handler: handler}, stop)
}

// newNode starts the relay, which replicates the tables and the host list and activates
// new revisions.
func newNode(lc fx.Lifecycle, role hosts.Role, c shell.Common, active *tables.Active, r *roster.Roster, peers PeerClient, external ExternalClient, t *audit.Trail, log *zap.Logger) *relay.Node {
	n, stop := relay.NewNode(relay.Options{
		Self:   relay.Self{Host: c.Host, Role: role, Place: c.Place},
		Active: active, Roster: r, TableSource: edges.NewConfig(external.Client, c.Config), HostSource: edges.NewFleet(external.Client, c.Fleet),
		Client: relay.NewClient(peers.Client), Processes: c.Processes, Trail: t, Log: log,
	})
	return shell.WithCleanup(lc, n, stop)
}
