package state

import (
	"strings"
	"time"
)

// IsConfig reports whether a row is part of the operators' configuration, which is published as
// a whole under one version.
func IsConfig(key string) bool {
	switch kind, _, _ := strings.Cut(key, "/"); kind {
	case KindConfig, KindRoute, KindPool, KindWorkspace, KindLimits:
		return true
	}
	return false
}

// IsRelease reports whether a row is the release of a model.
func IsRelease(key string) bool { return strings.HasPrefix(key, KindRelease+"/") }

// ConfigKey is the key of the row that states the version of the configuration.
const ConfigKey = KindConfig + "/all"

// RowFacts are what decides between two rows with the same key of different eras.
type RowFacts struct {
	// Version is that of a configuration or release, or zero.
	Version int64
	// Started and Draining are those of an upstream.
	Started  time.Time
	Draining bool
}

// FactsOf returns the facts of a row. A row that is deleted or can't be decoded has none.
func FactsOf(r Row) (RowFacts, bool) {
	if r.Value == nil {
		return RowFacts{}, false
	}
	switch kind, _, _ := strings.Cut(r.Key, "/"); kind {
	case KindConfig:
		c, err := decodeConfig(r.Value)
		return RowFacts{Version: c.Version}, err == nil
	case KindRelease:
		d, err := decodeRelease(r.Value)
		return RowFacts{Version: int64(d.Version)}, err == nil
	case KindUpstream:
		u, err := decodeUpstream(r.Value)
		if err != nil {
			return RowFacts{}, false
		}
		return RowFacts{Started: u.Started, Draining: u.Draining}, true
	}
	return RowFacts{}, false
}
