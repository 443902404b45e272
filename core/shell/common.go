package shell

import (
	"net/netip"
	"net/url"
	"time"

	"currantport.example/core/config"
	"currantport.example/core/hosts"
	"currantport.example/core/logs"
)

// Common holds the settings that the entry and the agent share.
type Common struct {
	Host   hosts.Name
	Place  hosts.Place
	Listen netip.AddrPort
	Config url.URL
	Fleet  url.URL
	// Processes is the maximum number of processes of the fleet. It determines how far
	// apart processes that start together make their first reads.
	Processes       int
	Level           logs.Level
	ShutdownTimeout time.Duration
}

// Keys returns the keys that set the fields.
func (c *Common) Keys() []config.Key {
	return []config.Key{
		{Section: "host", Name: "name", Set: config.Text(&c.Host)},
		{Section: "host", Name: "region", Set: config.Text(&c.Place.Region)},
		{Section: "host", Name: "domain", Set: config.Text(&c.Place.Domain)},
		{Section: "host", Name: "listen", Set: config.Address(&c.Listen)},
		{Section: "platform", Name: "config", Set: config.URL(&c.Config)},
		{Section: "platform", Name: "fleet", Set: config.URL(&c.Fleet)},
		{Section: "platform", Name: "processes", Default: "13000", Set: config.Count(&c.Processes, 1, 1000000)},
		{Section: "log", Name: "level", Default: "info", Set: config.Choice(&c.Level, logs.LevelDebug, logs.LevelInfo, logs.LevelWarn, logs.LevelError)},
		{Section: "stop", Name: "within", Default: "60s", Set: config.Duration(&c.ShutdownTimeout, time.Second, time.Hour)},
	}
}
