package serve

import (
	"net/url"
	"time"

	"currantport.example/core/config"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/shell"
)

// UpstreamKind says what stands beside the agent.
type UpstreamKind string

// The kinds of an upstream.
const (
	UpstreamEngine UpstreamKind = "engine"
	UpstreamPlain  UpstreamKind = "plain"
)

// noStore stands for a platform without a weight store.
const noStore = "none"

// noRegion stands for a region of the store that isn't known.
const noRegion = "none"

func setStore(into *url.URL) func(string) error {
	set := config.URL(into)
	return func(text string) error {
		if text == noStore {
			return nil
		}
		return set(text)
	}
}

// Settings are those of an agent.
type Settings struct {
	shell.Common
	// SourceRegion is the region of the weight store and the origin. No host stands in
	// noHome.
	SourceRegion hosts.Region
	// Store is the weight store. It is empty where there is none.
	Store url.URL
	// Origin is the source of truth for weights.
	Origin url.URL
	// Upstream is where the upstream answers.
	Upstream url.URL
	Kind     UpstreamKind
	// Bounds holds what is promised about the keys of callers.
	Bounds dedup.Bounds
}

// Read returns the settings of a file, or every fault as an error.
func Read(file string) (Settings, error) {
	var s Settings
	keys := append(s.Keys(),
		config.Key{Section: "platform", Name: "home", Default: noRegion, Set: config.Text(&s.SourceRegion)},
		config.Key{Section: "platform", Name: "store", Default: noStore, Set: setStore(&s.Store)},
		config.Key{Section: "platform", Name: "origin", Set: config.URL(&s.Origin)},
		config.Key{Section: "upstream", Name: "url", Set: config.URL(&s.Upstream)},
		config.Key{Section: "upstream", Name: "kind", Default: "engine", Set: config.Choice(&s.Kind, UpstreamEngine, UpstreamPlain)},
	)
	s.Bounds = dedup.DefaultBounds()
	keys = append(keys,
		config.Key{Section: "keys", Name: "resend", Default: "2m", Set: config.Duration(&s.Bounds.RetryWindow, time.Second, time.Hour)},
		config.Key{Section: "keys", Name: "skew", Default: "2s", Set: config.Duration(&s.Bounds.MaxClockSkew, time.Millisecond, time.Minute)},
		config.Key{Section: "keys", Name: "lag", Default: "10s", Set: config.Duration(&s.Bounds.MaxListLag, time.Second, time.Hour)},
	)
	err := config.Read(file, keys)
	return s, err
}

// ShutdownTimeout bounds the graceful shutdown.
func ShutdownTimeout(s Settings) time.Duration {
	return s.ShutdownTimeout + 2*closeTimeout
}
