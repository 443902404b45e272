package server

import (
	"net/netip"
	"time"

	"currantport.example/core/config"
	"currantport.example/core/hosts"
	"currantport.example/core/logs"
)

// Settings are the settings of an entry.
type Settings struct {
	Host  hosts.Name
	Place hosts.Place
	// Regions maps failure domains to regions.
	Regions map[hosts.Domain]hosts.Region
	// ClientAddress is where clients connect, MeshAddress where other processes do.
	ClientAddress netip.AddrPort
	MeshAddress   netip.AddrPort
	// AdminAddress serves metrics and the administration interface. It may be unset.
	AdminAddress netip.AddrPort
	// Seeds are the mesh addresses of other entries.
	Seeds []netip.AddrPort
	// AgentPort is the mesh port of the upstreams' agents.
	AgentPort int
	// AddressTTL is how long a client may cache an address.
	AddressTTL time.Duration
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// MemoryLimit bounds the memory of the process.
	MemoryLimit config.Bytes
	// MaxPrefetchSize is the size up to which a version's pieces are forwarded to agents.
	MaxPrefetchSize config.Bytes
	Level           logs.Level
	Bounds          Bounds
}

// Bounds are the guarantees of the fleet.
type Bounds struct {
	// Revoke is the time after which a revoked key must no longer be accepted.
	Revoke time.Duration
	// Apply is the time within which a configuration is active.
	Apply time.Duration
	// VersionTimeout is the time within which a released version is served, or zero for no bound.
	VersionTimeout time.Duration
	// Detection is the time within which an entry that has ended is no longer named to clients.
	Detection time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the retries to a pool in any window: a
	// ratio of its requests plus a constant number.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Read returns the settings of a file, or all validation errors as one error. Others are
// additional keys of the file.
func Read(file string, others ...config.Key) (Settings, error) {
	var s Settings
	err := config.Read(file, append(s.keys(), others...))
	return s, err
}

func (s *Settings) keys() []config.Key {
	return []config.Key{
		{Section: "host", Name: "name", Set: config.Text(&s.Host)},
		{Section: "host", Name: "region", Set: config.Text(&s.Place.Region)},
		{Section: "host", Name: "domain", Set: config.Text(&s.Place.Domain)},
		{Section: "host", Name: "domains", Set: config.Pairs(&s.Regions)},
		{Section: "host", Name: "memory", Default: "256MiB", Set: config.Size(&s.MemoryLimit, 32*config.MiB, config.GiB*64)},
		{Section: "weights", Name: "carry", Default: "16MiB", Set: config.Size(&s.MaxPrefetchSize, 0, 64*config.GiB)},
		{Section: "listen", Name: "calls", Set: config.Address(&s.ClientAddress)},
		{Section: "listen", Name: "mesh", Set: config.Address(&s.MeshAddress)},
		{Section: "listen", Name: "admin", Set: config.Address(&s.AdminAddress)},
		{Section: "mesh", Name: "seeds", Default: "none", Set: config.Addresses(&s.Seeds)},
		{Section: "mesh", Name: "agent", Set: config.Count(&s.AgentPort, 1, 65535)},
		{Section: "addresses", Name: "lifetime", Default: "1s", Set: config.Duration(&s.AddressTTL, time.Second, time.Hour)},
		{Section: "stop", Name: "within", Default: "60s", Set: config.Duration(&s.ShutdownTimeout, time.Second, time.Hour)},
		{Section: "log", Name: "level", Default: "info", Set: config.Choice(&s.Level, logs.LevelDebug, logs.LevelInfo, logs.LevelWarn, logs.LevelError)},
		{Section: "bounds", Name: "revoke", Default: "5s", Set: config.Duration(&s.Bounds.Revoke, 0, time.Hour)},
		{Section: "bounds", Name: "apply", Default: "2s", Set: config.Duration(&s.Bounds.Apply, 0, time.Hour)},
		{Section: "bounds", Name: "version", Default: "0s", Set: config.Duration(&s.Bounds.VersionTimeout, 0, time.Hour)},
		{Section: "bounds", Name: "detect", Default: "6s", Set: config.Duration(&s.Bounds.Detection, 5*time.Second, time.Minute)},
		{Section: "bounds", Name: "ratio", Default: "0.1", Set: config.Number(&s.Bounds.RetryRatio, 0, 10)},
		{Section: "bounds", Name: "slack", Default: "10", Set: config.Number(&s.Bounds.RetrySlack, 0, 1e9)},
		{Section: "bounds", Name: "window", Default: "10s", Set: config.Duration(&s.Bounds.RetryWindow, time.Second, time.Hour)},
	}
}

// ShutdownTimeout bounds the graceful shutdown.
func ShutdownTimeout(s Settings) time.Duration { return s.ShutdownTimeout }
