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
	// Lifetime is how long a caller may keep an address answer.
	Lifetime time.Duration
}

// Read returns the settings of a file, or every fault as an error.
func Read(file string) (Settings, error) {
	var s Settings
	keys := append(s.Keys(),
		config.Key{Section: "addresses", Name: "lifetime", Default: "10s", Set: config.Duration(&s.Lifetime, time.Second, time.Hour)},
	)
	err := config.Read(file, keys)
	return s, err
}

// StopWithin bounds the graceful shutdown.
func StopWithin(s Settings) time.Duration {
	return s.ShutdownTimeout + s.Lifetime + lookup.AskTimeout + 2*closeWithin
}
