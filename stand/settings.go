package main

import (
	"net/netip"
	"time"

	"currantport.example/core/config"
)

// kind names the system that the process fakes.
type kind string

const (
	kindConfig kind = "config"
	kindFleet  kind = "fleet"
	kindStore  kind = "store"
	kindEngine kind = "engine"
	kindPlain  kind = "plain"
)

const shutdownTimeout = 5 * time.Second

// choice is yes or no.
type choice string

const (
	choiceYes choice = "yes"
	choiceNo  choice = "no"
)

// settings are the settings of a fake.
type settings struct {
	Kind   kind
	Listen netip.AddrPort
	// Rate bounds the link of a store, in bytes per second. Zero means no bound.
	Rate config.Bytes
	// CallRate bounds the calls to a store, per second. Zero means no bound.
	CallRate int
	// Fenced tells whether an engine refuses orders with an outdated fencing token.
	Fenced choice
	// TokenInterval is the time between two tokens of an engine.
	TokenInterval time.Duration
}

func read(file string) (settings, error) {
	var s settings
	err := config.Read(file, []config.Key{
		{Section: "stand", Name: "kind", Set: config.Choice(&s.Kind, kindConfig, kindFleet, kindStore, kindEngine, kindPlain)},
		{Section: "stand", Name: "listen", Set: config.Address(&s.Listen)},
		{Section: "store", Name: "rate", Default: "0B", Set: config.Size(&s.Rate, 0, 64*config.GiB)},
		{Section: "store", Name: "calls", Default: "0", Set: config.Count(&s.CallRate, 0, 1_000_000)},
		{Section: "engine", Name: "fenced", Default: "yes", Set: config.Choice(&s.Fenced, choiceYes, choiceNo)},
		{Section: "engine", Name: "token", Default: "2ms", Set: config.Duration(&s.TokenInterval, 0, time.Minute)},
	})
	return s, err
}

func shutdownTimeoutOf(settings) time.Duration { return shutdownTimeout }
