package server

import (
	"net/netip"
	"time"

	"currantport.example/core/config"
	"currantport.example/core/hosts"
	"currantport.example/core/logs"
)

// Settings are the settings of an agent.
type Settings struct {
	Host  hosts.Name
	Place hosts.Place
	// Regions maps failure domains to regions.
	Regions map[hosts.Domain]hosts.Region
	// MeshAddress is where other processes connect. The agents of all hosts use the same
	// port.
	MeshAddress netip.AddrPort
	// AdminAddress serves metrics. It may be unset.
	AdminAddress netip.AddrPort
	Seeds        []netip.AddrPort
	// Pool is the pool of the engine, EngineAddress where the engine listens.
	Pool          string
	EngineAddress netip.AddrPort
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	MemoryLimit     config.Bytes
	Level           logs.Level
	// Revoke is the time after which a revoked key must no longer be accepted, VersionTimeout
	// the time within which a released version is served, or zero for no bound.
	Revoke         time.Duration
	VersionTimeout time.Duration
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
		{Section: "host", Name: "memory", Default: "128MiB", Set: config.Size(&s.MemoryLimit, 32*config.MiB, config.GiB*64)},
		{Section: "listen", Name: "mesh", Set: config.Address(&s.MeshAddress)},
		{Section: "listen", Name: "admin", Set: config.Address(&s.AdminAddress)},
		{Section: "mesh", Name: "seeds", Default: "none", Set: config.Addresses(&s.Seeds)},
		{Section: "engine", Name: "pool", Set: config.Text(&s.Pool)},
		{Section: "engine", Name: "address", Set: config.Address(&s.EngineAddress)},
		{Section: "stop", Name: "within", Default: "5s", Set: config.Duration(&s.ShutdownTimeout, time.Second, time.Hour)},
		{Section: "log", Name: "level", Default: "info", Set: config.Choice(&s.Level, logs.LevelDebug, logs.LevelInfo, logs.LevelWarn, logs.LevelError)},
		{Section: "bounds", Name: "revoke", Default: "5s", Set: config.Duration(&s.Revoke, 0, time.Hour)},
		{Section: "bounds", Name: "version", Default: "0s", Set: config.Duration(&s.VersionTimeout, 0, time.Hour)},
	}
}

// ShutdownTimeout bounds the graceful shutdown.
func ShutdownTimeout(s Settings) time.Duration { return s.ShutdownTimeout }
