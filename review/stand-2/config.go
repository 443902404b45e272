package main

// The documents of the store, as far as the cases need them.

type route struct {
	Name, Host, Prefix, RouteKind string
	TimeoutMs, SloMs, GapTargetMs int
	Priority, MaxAttempts         int
	Service                       string
	Anonymous, Sticky, Resumable  bool
}

type service struct {
	Name       string
	HealthPath string
	MaxConns   int
	Protocol   string
	Tls        bool
	Engine     map[string]any `json:",omitempty"`
}

type limits struct{ MaxHeaderBytes, MaxBodyBytes, HeaderTimeoutMs, IdleTimeoutMs int }

type tenant struct {
	Name    string
	ApiKeys []string
}

type config struct {
	Version  int
	Routes   []route
	Services []service
	Limits   limits
	Tenants  []tenant `json:",omitempty"`
}

// siteLimits are the limits of the sites' configurations.
var siteLimits = limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}

// registration is the value of a key below servers/.
type registration struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	ColdLeftMs                      int
	Phase                           string
	Models                          []map[string]any
	Layers                          map[string]int `json:"layers,omitempty"`
	Seq                             int
	Born                            int64 `json:"born"`
}
