package tables

import (
	"encoding/json"
	"slices"
	"time"

	"currantport.example/core/chunks"
	"currantport.example/core/hosts"
)

type routesDocument struct {
	Routes []routeDocument `json:"routes"`
}

type routeDocument struct {
	Name       string          `json:"name"`
	Pool       string          `json:"pool"`
	Idempotent bool            `json:"idempotent"`
	Timeout    string          `json:"timeout"`
	Limits     []limitDocument `json:"limits,omitempty"`
}

type limitDocument struct {
	Workspace string `json:"workspace"`
	Running   int    `json:"running"`
}

type poolsDocument struct {
	Pools []poolDocument `json:"pools"`
}

type poolDocument struct {
	Name     string   `json:"name"`
	Kind     string   `json:"kind"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Manifest string   `json:"manifest,omitempty"`
	Base     string   `json:"base,omitempty"`
	Role     string   `json:"role,omitempty"`
	Hosts    []string `json:"hosts"`
	Favor    string   `json:"favor,omitempty"`
	Ready    float64  `json:"ready,omitempty"`
	Fenced   bool     `json:"fenced,omitempty"`
}

// DecodeRoutes reads a routes table. It returns every fault that it finds; the
// rows are whole only if there is none.
func DecodeRoutes(data []byte) ([]Route, []RowError) {
	documents, faults := decodeTable[routeDocument](KindRoutes, data)
	rows := make([]Route, 0, len(documents))
	for _, d := range documents {
		row, f := d.row()
		rows = append(rows, row)
		faults = append(faults, f...)
	}
	return rows, append(faults, repeated(KindRoutes, rows)...)
}

// DecodePools reads a pools table. It returns every fault that it finds; the
// rows are whole only if there is none.
func DecodePools(data []byte) ([]Pool, []RowError) {
	documents, faults := decodeTable[poolDocument](KindPools, data)
	rows := make([]Pool, 0, len(documents))
	for _, d := range documents {
		row, f := d.row()
		rows = append(rows, row)
		faults = append(faults, f...)
	}
	return rows, append(faults, repeated(KindPools, rows)...)
}

// EncodeRoutes writes a routes table in the form that DecodeRoutes reads.
func EncodeRoutes(rows []Route) ([]byte, error) {
	d := routesDocument{Routes: []routeDocument{}}
	for _, r := range rows {
		d.Routes = append(d.Routes, documentOfRoute(r))
	}
	return json.Marshal(d)
}

// EncodePools writes a pools table in the form that DecodePools reads.
func EncodePools(rows []Pool) ([]byte, error) {
	d := poolsDocument{Pools: []poolDocument{}}
	for _, p := range rows {
		d.Pools = append(d.Pools, documentOfPool(p))
	}
	return json.Marshal(d)
}

func (d routeDocument) row() (Route, []RowError) {
	c := checker{table: KindRoutes, row: d.Name}
	c.require(validName(d.Name), "name", "must be 1 to 64 letters, digits, dots or dashes")
	c.require(validName(d.Pool), "pool", "must name a pool")
	timeout := defaultTimeout
	if d.Timeout != "" {
		parsed, err := time.ParseDuration(d.Timeout)
		c.require(err == nil && parsed > 0 && parsed <= maxTimeout, "timeout", "must be a duration above 0 and up to 1h")
		timeout = parsed
	}
	row := Route{Name: d.Name, Pool: d.Pool, Idempotent: d.Idempotent, Timeout: timeout}
	for _, l := range d.Limits {
		c.require(l.Workspace != "", "limits", "workspace must not be empty")
		c.require(l.Running >= 1, "limits", "running must be at least 1")
		row.Limits = append(row.Limits, Limit(l))
	}
	return row, c.faults
}

func (d poolDocument) row() (Pool, []RowError) {
	c := checker{table: KindPools, row: d.Name}
	c.require(validName(d.Name), "name", "must be 1 to 64 letters, digits, dots or dashes")
	p := Pool{
		Name: d.Name, Kind: PoolKind(d.Kind), Model: d.Model, Version: d.Version, Role: d.Role,
		Favor: Favor(d.Favor), Ready: d.Ready, Fenced: d.Fenced,
	}
	if p.Favor == "" {
		p.Favor = FavorTime
	}
	c.require(p.Kind == PoolModel || p.Kind == PoolService, "kind", "must be model or service")
	c.require(p.Favor == FavorTime || p.Favor == FavorOrigin, "favor", "must be time or origin")
	c.require(p.Ready >= 0 && p.Ready <= 1, "ready", "must be from 0 to 1")
	if p.Kind == PoolModel {
		c.require(validName(d.Model), "model", "must name a model")
		c.require(validName(d.Version), "version", "must name a version")
		p.Manifest = c.digest("manifest", d.Manifest)
		c.require(!p.Manifest.IsZero(), "manifest", "must be set for a model pool")
	} else {
		c.require(d.Model == "" && d.Version == "" && d.Manifest == "", "kind", "a service pool has no model, version or manifest")
	}
	p.Base = c.digest("base", d.Base)
	p.Hosts = c.hosts(d.Hosts)
	return p, c.faults
}

func documentOfRoute(r Route) routeDocument {
	d := routeDocument{Name: r.Name, Pool: r.Pool, Idempotent: r.Idempotent, Timeout: r.Timeout.String()}
	for _, l := range r.Limits {
		d.Limits = append(d.Limits, limitDocument(l))
	}
	return d
}

func documentOfPool(p Pool) poolDocument {
	d := poolDocument{
		Name: p.Name, Kind: string(p.Kind), Model: p.Model, Version: p.Version,
		Manifest: textOf(p.Manifest), Base: textOf(p.Base), Role: p.Role, Hosts: []string{},
		Favor: string(p.Favor), Ready: p.Ready, Fenced: p.Fenced,
	}
	for _, h := range p.Hosts {
		d.Hosts = append(d.Hosts, string(h))
	}
	return d
}

func textOf(d chunks.Digest) string {
	if d.IsZero() {
		return ""
	}
	return d.String()
}

func (c *checker) digest(field, text string) chunks.Digest {
	if text == "" {
		return chunks.Digest{}
	}
	d, err := chunks.ParseDigest(text)
	c.require(err == nil, field, "must be 64 hexadecimal digits")
	return d
}

func (c *checker) hosts(names []string) []hosts.Name {
	seen := make(map[string]bool, len(names))
	all := make([]hosts.Name, 0, len(names))
	for _, n := range names {
		c.require(n != "" && !seen[n], "hosts", "must hold no empty and no repeated name")
		seen[n] = true
		all = append(all, hosts.Name(n))
	}
	slices.Sort(all)
	return all
}
