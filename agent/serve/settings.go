package serve

import (
	"net/url"
	"time"

	"currantport.example/core/config"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
	"currantport.example/core/shell"
)

// UpstreamKind is the kind of upstream that the agent serves requests with.
type UpstreamKind string

// The kinds of an upstream.
const (
	UpstreamEngine UpstreamKind = "engine"
	UpstreamPlain  UpstreamKind = "plain"
)

// noStore is the setting for a platform without a weight store.
const noStore = "none"

// noRegion is the setting for an unknown region of the weight store and the origin.
const noRegion = "none"

func setStore(store *url.URL) func(string) error {
	set := config.URL(store)
	return func(text string) error {
		if text == noStore {
			return nil
		}
		return set(text)
	}
}

// Settings are the settings of an agent.
type Settings struct {
	shell.Common
	// SourceRegion is the region of the weight store and the origin. It is noRegion if
	// that is unknown; no host is in that region.
	SourceRegion hosts.Region
	// Store is the URL of the weight store. It is empty if there is none.
	Store url.URL
	// Origin is the URL of the source of truth for weights.
	Origin url.URL
	// Upstream is the URL of the upstream.
	Upstream url.URL
	Kind     UpstreamKind
	// Bounds holds the guarantees about idempotency keys of clients.
	Bounds dedup.Bounds
}

// Read reads and validates a settings file. The error lists every invalid key.
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

// ShutdownTimeout returns the time within which a graceful shutdown of the process
// ends.
func ShutdownTimeout(s Settings) time.Duration {
	return s.ShutdownTimeout + 2*closeTimeout
}
