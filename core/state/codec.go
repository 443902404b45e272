package state

import (
	"encoding/json"
	"errors"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"

	"currantport.example/core/hosts"
)

var (
	errKind    = errors.New("unknown row kind")
	errName    = errors.New("the name is missing")
	errPrefix  = errors.New("the prefix must begin and end with a slash")
	errTargets = errors.New("a route needs targets, each with a pool and a positive weight")
	errTimes   = errors.New("times must not be negative")
	errCounts  = errors.New("numbers must not be negative")
	errAddress = errors.New("the address is invalid")
	errID      = errors.New("the id is missing or has control characters")
	errRange   = errors.New("a number is out of range")
	errHomes   = errors.New("a home region has no name")
	errDomain  = errors.New("the row doesn't name its failure domain")
	// errRevision is returned by NewRevision.
	errRevision = errors.New("the era or the number of the revision is out of range")
)

// The documents are the JSON values of rows as sent between processes. Times are in
// microseconds.

type routeDocument struct {
	Name      string           `json:"name"`
	Host      string           `json:"host,omitempty"`
	Prefix    string           `json:"prefix"`
	Targets   []targetDocument `json:"targets"`
	Repeat    bool             `json:"repeat,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
	Resume    bool             `json:"resume,omitempty"`
	Timeout   int64            `json:"timeout,omitempty"`
	Objective int64            `json:"objective,omitempty"`
	Gap       int64            `json:"gap,omitempty"`
	Stall     int64            `json:"stall,omitempty"`
	Attempts  int              `json:"attempts,omitempty"`
	Priority  int              `json:"priority,omitempty"`
	Anonymous bool             `json:"anonymous,omitempty"`
	Homes     []hosts.Region   `json:"homes,omitempty"`
}

type targetDocument struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

type poolDocument struct {
	Name        string          `json:"name"`
	Connections int             `json:"connections,omitempty"`
	Cold        int64           `json:"cold,omitempty"`
	ColdRate    float64         `json:"coldrate,omitempty"`
	Engine      *engineDocument `json:"engine,omitempty"`
	Origin      *originDocument `json:"origin,omitempty"`
}

type engineDocument struct {
	Slots   int             `json:"slots"`
	Stride  int             `json:"stride"`
	Step    float64         `json:"step"`
	Request float64         `json:"request"`
	Context float64         `json:"context"`
	Read    float64         `json:"read"`
	Pairs   float64         `json:"pairs"`
	Most    int             `json:"most"`
	Memory  int             `json:"memory"`
	Prompt  int             `json:"prompt"`
	Answer  int             `json:"answer"`
	Models  []modelDocument `json:"models"`
	Layers  int             `json:"layers"`
	Pieces  int             `json:"pieces"`
	Bytes   int             `json:"bytes"`
}

type modelDocument struct {
	Name string `json:"name"`
	Warm int64  `json:"warm"`
}

type originDocument struct {
	Address     string  `json:"address"`
	Domain      string  `json:"domain,omitempty"`
	Rate        float64 `json:"rate,omitempty"`
	Connections int     `json:"connections,omitempty"`
}

type workspaceDocument struct {
	Name     string         `json:"name"`
	Keys     []string       `json:"keys"`
	Priority *int           `json:"priority,omitempty"`
	Homes    []hosts.Region `json:"homes,omitempty"`
}

type evacuationDocument struct {
	Domain string `json:"domain"`
}

type limitsDocument struct {
	Header        int   `json:"header,omitempty"`
	Body          int64 `json:"body,omitempty"`
	HeaderTimeout int64 `json:"headertime,omitempty"`
	IdleTimeout   int64 `json:"idletime,omitempty"`
}

type releaseDocument struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
}

type upstreamDocument struct {
	ID       string         `json:"id"`
	Pool     string         `json:"pool"`
	Address  string         `json:"address"`
	Domain   string         `json:"domain,omitempty"`
	Draining bool           `json:"draining,omitempty"`
	Slots    int            `json:"slots,omitempty"`
	Started  int64          `json:"started,omitempty"`
	Held     []heldDocument `json:"held,omitempty"`
	Cold     *int64         `json:"cold,omitempty"`
}

type heldDocument struct {
	Model   string `json:"model"`
	Version int    `json:"version"`
	Whole   bool   `json:"whole,omitempty"`
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func fractionalMicros(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }

func decodeRoute(value []byte) (*Route, error) {
	var d routeDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	r := &Route{
		Name: d.Name, Host: d.Host, Prefix: d.Prefix, Idempotent: d.Repeat, Stream: d.Stream, Resumable: d.Resume,
		Timeout: micros(d.Timeout), Objective: micros(d.Objective), MaxEventGap: micros(d.Gap), StallTimeout: micros(d.Stall),
		MaxAttempts: max(d.Attempts, 1), Priority: d.Priority, Anonymous: d.Anonymous, Homes: d.Homes,
	}
	for _, t := range d.Targets {
		if t.Pool == "" || t.Weight <= 0 {
			return nil, errTargets
		}
		r.Targets = append(r.Targets, Target(t))
	}
	switch {
	case d.Name == "":
		return nil, errName
	case d.Prefix == "" || d.Prefix[0] != '/' || d.Prefix[len(d.Prefix)-1] != '/':
		return nil, errPrefix
	case len(r.Targets) == 0:
		return nil, errTargets
	case d.Timeout < 0 || d.Objective < 0 || d.Gap < 0 || d.Stall < 0:
		return nil, errTimes
	case slices.Contains(d.Homes, ""):
		return nil, errHomes
	}
	return r, nil
}

// EncodeRoute returns the row of a route.
func EncodeRoute(r *Route) (Row, error) {
	d := routeDocument{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Repeat: r.Idempotent, Stream: r.Stream, Resume: r.Resumable,
		Timeout: r.Timeout.Microseconds(), Objective: r.Objective.Microseconds(), Gap: r.MaxEventGap.Microseconds(), Stall: r.StallTimeout.Microseconds(),
		Attempts: r.MaxAttempts, Priority: r.Priority, Anonymous: r.Anonymous, Homes: r.Homes,
	}
	for _, t := range r.Targets {
		d.Targets = append(d.Targets, targetDocument(t))
	}
	return encode(KindRoute, r.Name, d)
}

func decodePool(value []byte) (*Pool, error) {
	var d poolDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	p := &Pool{Name: d.Name, MaxConnections: d.Connections, Cold: micros(d.Cold), ColdRate: d.ColdRate}
	if d.Name == "" {
		return nil, errName
	}
	if d.Connections < 0 || d.Cold < 0 || d.ColdRate < 0 {
		return nil, errCounts
	}
	var err error
	if d.Origin != nil {
		p.Origin = &Origin{Domain: d.Origin.Domain, Rate: d.Origin.Rate, MaxConnections: d.Origin.Connections}
		if p.Origin.Address, err = netip.ParseAddrPort(d.Origin.Address); err != nil {
			return nil, errAddress
		}
	}
	if d.Engine != nil {
		p.Engine, err = d.Engine.engine()
	}
	return p, err
}

func (d *engineDocument) engine() (*Engine, error) {
	if d.Slots <= 0 || d.Step < 0 || d.Read <= 0 || d.Pieces < 0 || d.Bytes < 0 || d.Layers < 0 {
		return nil, errCounts
	}
	e := &Engine{
		Slots: d.Slots, Stride: max(d.Stride, 1), StepTime: fractionalMicros(d.Step), StepTimePerRequest: fractionalMicros(d.Request),
		StepTimePerContext: fractionalMicros(d.Context), PrefillRate: d.Read, PrefillPairTime: fractionalMicros(d.Pairs), MaxPrefillTokens: d.Most,
		MemoryTokens: d.Memory, PromptTokens: d.Prompt, OutputTokens: d.Answer, Layers: d.Layers, Pieces: d.Pieces, PieceBytes: d.Bytes,
	}
	for _, m := range d.Models {
		if m.Name == "" {
			return nil, errName
		}
		e.Models = append(e.Models, Model{Name: m.Name, LoadTime: micros(m.Warm)})
	}
	return e, nil
}

// EncodePool returns the row of a pool.
func EncodePool(p *Pool) (Row, error) {
	d := poolDocument{Name: p.Name, Connections: p.MaxConnections, Cold: p.Cold.Microseconds(), ColdRate: p.ColdRate}
	if o := p.Origin; o != nil {
		d.Origin = &originDocument{Address: o.Address.String(), Domain: o.Domain, Rate: o.Rate, Connections: o.MaxConnections}
	}
	if e := p.Engine; e != nil {
		us := func(t time.Duration) float64 { return float64(t) / float64(time.Microsecond) }
		d.Engine = &engineDocument{
			Slots: e.Slots, Stride: e.Stride, Step: us(e.StepTime), Request: us(e.StepTimePerRequest), Context: us(e.StepTimePerContext),
			Read: e.PrefillRate, Pairs: us(e.PrefillPairTime), Most: e.MaxPrefillTokens, Memory: e.MemoryTokens, Prompt: e.PromptTokens, Answer: e.OutputTokens,
			Layers: e.Layers, Pieces: e.Pieces, Bytes: e.PieceBytes,
		}
		for _, m := range e.Models {
			d.Engine.Models = append(d.Engine.Models, modelDocument{Name: m.Name, Warm: m.LoadTime.Microseconds()})
		}
	}
	return encode(KindPool, p.Name, d)
}

func decodeWorkspace(value []byte) (*Workspace, error) {
	var d workspaceDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	if d.Name == "" {
		return nil, errName
	}
	if slices.Contains(d.Homes, "") {
		return nil, errHomes
	}
	w := &Workspace{Name: d.Name, Keys: d.Keys, Homes: d.Homes}
	if d.Priority != nil {
		w.Priority, w.HasPriority = *d.Priority, true
	}
	return w, nil
}

// EncodeWorkspace returns the row of a workspace.
func EncodeWorkspace(w *Workspace) (Row, error) {
	d := workspaceDocument{Name: w.Name, Keys: w.Keys, Homes: w.Homes}
	if w.HasPriority {
		d.Priority = &w.Priority
	}
	return encode(KindWorkspace, w.Name, d)
}

func decodeLimits(value []byte) (Limits, error) {
	var d limitsDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return Limits{}, err
	}
	if d.Header < 0 || d.Body < 0 || d.HeaderTimeout < 0 || d.IdleTimeout < 0 {
		return Limits{}, errCounts
	}
	return Limits{
		HeaderBytes: d.Header, BodyBytes: d.Body,
		HeaderTimeout: micros(d.HeaderTimeout), IdleTimeout: micros(d.IdleTimeout),
	}, nil
}

// EncodeLimits returns the row of the limits.
func EncodeLimits(l Limits) (Row, error) {
	return encode(KindLimits, "all", limitsDocument{
		Header: l.HeaderBytes, Body: l.BodyBytes,
		HeaderTimeout: l.HeaderTimeout.Microseconds(), IdleTimeout: l.IdleTimeout.Microseconds(),
	})
}

type configDocument struct {
	Version     int64 `json:"version"`
	RequiresKey bool  `json:"keys,omitempty"`
}

func decodeConfig(value []byte) (Config, error) {
	var d configDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return Config{}, err
	}
	if d.Version < 0 {
		return Config{}, errCounts
	}
	return Config(d), nil
}

// EncodeConfig returns the row with the properties of the whole configuration.
func EncodeConfig(c Config) (Row, error) {
	return encode(KindConfig, "all", configDocument(c))
}

func decodeRelease(value []byte) (Release, error) {
	var d releaseDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return Release{}, err
	}
	if d.Model == "" {
		return Release{}, errName
	}
	if d.Version < FirstVersion {
		return Release{}, errCounts
	}
	return Release{Model: d.Model, Version: d.Version}, nil
}

// EncodeRelease returns the row of a release.
func EncodeRelease(r Release) (Row, error) {
	return encode(KindRelease, r.Model, releaseDocument{Model: r.Model, Version: r.Version})
}

func decodeUpstream(value []byte) (*Upstream, error) {
	var d upstreamDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(d.Address)
	if err != nil {
		return nil, errAddress
	}
	u := &Upstream{ID: d.ID, Pool: d.Pool, Address: address, Domain: d.Domain, Draining: d.Draining, Slots: d.Slots}
	if d.Cold != nil {
		u.ColdFor, u.HasCold = micros(max(*d.Cold, 0)), true
	}
	if d.Started > 0 {
		u.Started = time.UnixMicro(d.Started)
	}
	for _, h := range d.Held {
		u.Held = append(u.Held, HeldVersion(h))
	}
	if err := u.validate(); err != nil {
		return nil, err
	}
	return u, nil
}

const (
	// maxSlots bounds the slots of an upstream, and maxVersion the versions that it holds, so that sums
	// of them can't overflow.
	maxSlots   = 1 << 16
	maxVersion = math.MaxInt32
)

// validate reports what no upstream can have. Registrations come from many writers.
func (u *Upstream) validate() error {
	switch a := u.Address.Addr(); {
	case u.ID == "" || strings.ContainsFunc(u.ID, unicode.IsControl):
		return errID
	case u.Pool == "":
		return errName
	case u.Address.Port() == 0 || a.IsUnspecified() || a.IsMulticast() || a.Zone() != "":
		return errAddress
	case u.Slots < 0 || u.Slots > maxSlots:
		return errRange
	}
	for _, h := range u.Held {
		if h.Version < 0 || h.Version > maxVersion {
			return errRange
		}
	}
	return nil
}

// EncodeUpstream returns the row of an upstream. The error says what no upstream can have.
func EncodeUpstream(u *Upstream) (Row, error) {
	if err := u.validate(); err != nil {
		return Row{}, err
	}
	d := upstreamDocument{
		ID: u.ID, Pool: u.Pool, Address: u.Address.String(), Domain: u.Domain, Draining: u.Draining, Slots: u.Slots,
	}
	if u.HasCold || u.ColdFor > 0 {
		left := u.ColdFor.Microseconds()
		d.Cold = &left
	}
	if !u.Started.IsZero() {
		d.Started = u.Started.UnixMicro()
	}
	for _, h := range u.Held {
		d.Held = append(d.Held, heldDocument(h))
	}
	return encode(KindUpstream, u.Pool+"/"+u.ID, d)
}

func decodeEvacuation(value []byte) (Evacuation, error) {
	var d evacuationDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return Evacuation{}, err
	}
	if d.Domain == "" {
		return Evacuation{}, errDomain
	}
	return Evacuation{Domain: hosts.Domain(d.Domain)}, nil
}

// EncodeEvacuation returns the row of an evacuation.
func EncodeEvacuation(e Evacuation) (Row, error) {
	if e.Domain == "" {
		return Row{}, errDomain
	}
	return encode(KindEvacuation, string(e.Domain), evacuationDocument{Domain: string(e.Domain)})
}

func encode(kind, name string, document any) (Row, error) {
	value, err := json.Marshal(document)
	return Row{Key: kind + "/" + name, Value: value}, err
}
