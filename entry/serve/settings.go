package serve

import (
	"time"

	"currantport.example/core/config"
	"currantport.example/core/shell"
	"currantport.example/entry/internal/lookup"
)

// Settings are those of an entry.
type Settings struct {
	shell.Common
	// AddressTTL is how long a caller may keep an address answer.
	AddressTTL time.Duration
}

// Read returns the settings of a file, or every fault as an error.
func Read(file string) (Settings, error) {
	var s Settings
	keys := append(s.Keys(),
		config.Key{Section: "addresses", Name: "lifetime", Default: "10s", Set: config.Duration(&s.AddressTTL, time.Second, time.Hour)},
	)
	err := config.Read(file, keys)
	return s, err
}

// ShutdownTimeout bounds the graceful shutdown.
func ShutdownTimeout(s Settings) time.Duration {
	return s.ShutdownTimeout + s.AddressTTL + lookup.ProbeTimeout + 2*closeWithin
}
