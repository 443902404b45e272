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

// DecodeRoutes decodes and validates a routes table. It returns every validation
// error; the rows may be used only if there is none.
func DecodeRoutes(data []byte) ([]Route, []RowError) {
	documents, rowErrors := decodeTable[routeDocument](KindRoutes, data)
	rows := make([]Route, 0, len(documents))
	for _, d := range documents {
		row, errs := d.row()
		rows = append(rows, row)
		rowErrors = append(rowErrors, errs...)
	}
	return rows, append(rowErrors, duplicateRows(KindRoutes, rows)...)
}

// DecodePools decodes and validates a pools table. It returns every validation
// error; the rows may be used only if there is none.
func DecodePools(data []byte) ([]Pool, []RowError) {
	documents, rowErrors := decodeTable[poolDocument](KindPools, data)
	rows := make([]Pool, 0, len(documents))
	for _, d := range documents {
		row, errs := d.row()
		rows = append(rows, row)
		rowErrors = append(rowErrors, errs...)
	}
	return rows, append(rowErrors, duplicateRows(KindPools, rows)...)
}

// EncodeRoutes encodes a routes table in the format that DecodeRoutes reads.
func EncodeRoutes(rows []Route) ([]byte, error) {
	d := routesDocument{Routes: []routeDocument{}}
	for _, r := range rows {
		d.Routes = append(d.Routes, documentOfRoute(r))
	}
	return json.Marshal(d)
}

// EncodePools encodes a pools table in the format that DecodePools reads.
func EncodePools(rows []Pool) ([]byte, error) {
	d := poolsDocument{Pools: []poolDocument{}}
	for _, p := range rows {
		d.Pools = append(d.Pools, documentOfPool(p))
	}
	return json.Marshal(d)
}

func (d routeDocument) row() (Route, []RowError) {
	c := checker{table: KindRoutes, row: d.Name}
	c.check(isValidName(d.Name), "name", "must be 1 to 64 letters, digits, dots or dashes")
	c.check(isValidName(d.Pool), "pool", "must name a pool")
	timeout := defaultTimeout
	if d.Timeout != "" {
		parsed, err := time.ParseDuration(d.Timeout)
		c.check(err == nil && parsed > 0 && parsed <= maxTimeout, "timeout", "must be a duration above 0 and up to 1h")
		timeout = parsed
	}
	row := Route{Name: d.Name, Pool: d.Pool, Idempotent: d.Idempotent, Timeout: timeout}
	for _, l := range d.Limits {
		c.check(l.Workspace != "", "limits", "workspace must not be empty")
		c.check(l.Running >= 1, "limits", "running must be at least 1")
		row.Limits = append(row.Limits, Limit(l))
	}
	return row, c.rowErrors
}

func (d poolDocument) row() (Pool, []RowError) {
	c := checker{table: KindPools, row: d.Name}
	c.check(isValidName(d.Name), "name", "must be 1 to 64 letters, digits, dots or dashes")
	p := Pool{
		Name: d.Name, Kind: PoolKind(d.Kind), Model: d.Model, Version: d.Version, Role: d.Role,
		Favor: Favor(d.Favor), Ready: d.Ready, Fenced: d.Fenced,
	}
	if p.Favor == "" {
		p.Favor = FavorTime
	}
	c.check(p.Kind == PoolModel || p.Kind == PoolService, "kind", "must be model or service")
	c.check(p.Favor == FavorTime || p.Favor == FavorOrigin, "favor", "must be time or origin")
	c.check(p.Ready >= 0 && p.Ready <= 1, "ready", "must be from 0 to 1")
	if p.Kind == PoolModel {
		c.check(isValidName(d.Model), "model", "must name a model")
		c.check(isValidName(d.Version), "version", "must name a version")
		p.Manifest = c.digest("manifest", d.Manifest)
		c.check(!p.Manifest.IsZero(), "manifest", "must be set for a model pool")
	} else {
		c.check(d.Model == "" && d.Version == "" && d.Manifest == "", "kind", "a service pool has no model, version or manifest")
	}
	p.Base = c.digest("base", d.Base)
	p.Hosts = c.hosts(d.Hosts)
	return p, c.rowErrors
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
		Manifest: digestText(p.Manifest), Base: digestText(p.Base), Role: p.Role, Hosts: []string{},
		Favor: string(p.Favor), Ready: p.Ready, Fenced: p.Fenced,
	}
	for _, h := range p.Hosts {
		d.Hosts = append(d.Hosts, string(h))
	}
	return d
}

func digestText(d chunks.Digest) string {
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
	c.check(err == nil, field, "must be 64 hexadecimal digits")
	return d
}

func (c *checker) hosts(names []string) []hosts.Name {
	seen := make(map[string]bool, len(names))
	all := make([]hosts.Name, 0, len(names))
	for _, n := range names {
		c.check(n != "" && !seen[n], "hosts", "must hold no empty and no repeated name")
		seen[n] = true
		all = append(all, hosts.Name(n))
	}
	slices.Sort(all)
	return all
}
