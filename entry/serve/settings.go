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
}

// Read returns the settings in a file. The error is a *config.SettingsError, which lists every
// invalid key.
func Read(file string) (Settings, error) {
	var s Settings
	keys := append(s.Keys(),
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
