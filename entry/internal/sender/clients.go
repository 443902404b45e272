package sender

import (
	"net/http"
	"net/netip"
	"sync"

	"currantport.example/core/wire"
)

// maxClients limits the number of cached clients.
const maxClients = 1024

// gateClients caches the client of each agent, because building one costs more than
// using it.
type gateClients struct {
	client *http.Client

	mutex sync.Mutex
	// clients holds at most maxClients clients.
	clients map[netip.AddrPort]wire.GateClient
}

func newGateClients(client *http.Client) *gateClients {
	return &gateClients{client: client, clients: make(map[netip.AddrPort]wire.GateClient)}
}

// get returns the client of the agent at the address.
func (g *gateClients) get(at netip.AddrPort) wire.GateClient {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if c, ok := g.clients[at]; ok {
		return c
	}
	if len(g.clients) >= maxClients {
		clear(g.clients)
	}
	c := newGateClient(g.client, at)
	g.clients[at] = c
	return c
}

// newGateClient returns a client that isn't cached.
func newGateClient(client *http.Client, at netip.AddrPort) wire.GateClient {
	return wire.NewGateClient(client, "http://"+at.String())
}
