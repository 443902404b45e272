package serve

import (
	"time"

	"currantport.example/core/config"
	"currantport.example/core/shell"
	"currantport.example/entry/internal/lookup"
)

// Settings are the settings of an entry.
type Settings struct {
	shell.Common
	// AddressTTL is how long clients may use the addresses of one lookup.
	AddressTTL time.Duration
	// MemoryLimit is the memory that the process may use. It bounds what is kept for clients.
	MemoryLimit config.Bytes
}

// Read returns the settings in a file. The error is a *config.SettingsError, which lists every
// invalid key.
func Read(file string) (Settings, error) {
	var s Settings
	keys := append(s.Keys(),
		config.Key{Section: "host", Name: "memory", Default: "256MiB", Set: config.Size(&s.MemoryLimit, 32*config.MiB, 64*config.GiB)},
		config.Key{Section: "addresses", Name: "lifetime", Default: "10s", Set: config.Duration(&s.AddressTTL, time.Second, time.Hour)},
	)
	err := config.Read(file, keys)
	return s, err
}

// ShutdownTimeout bounds the graceful shutdown: addresses expire, requests in progress finish,
// and then the remaining calls.
func ShutdownTimeout(s Settings) time.Duration {
	return s.ShutdownTimeout + s.AddressTTL + lookup.ProbeTimeout + 2*closeTimeout
}
