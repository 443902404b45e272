package edges

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"

	"github.com/samber/oops"

	"currantport.example/core/hosts"
	"currantport.example/core/tables"
)

const maxHostsBytes = 8 << 20

// Config reads the configuration service. It implements tables.Source.
type Config struct {
	client *http.Client
	base   url.URL
}

// NewConfig returns a client of the service at the base URL.
func NewConfig(client *http.Client, base url.URL) *Config { return &Config{client: client, base: base} }

// Read implements tables.Source.
func (c *Config) Read(ctx context.Context, kind tables.Kind) (tables.Value, error) {
	return c.value(ctx, kind, nil)
}

// Watch implements tables.Source.
func (c *Config) Watch(ctx context.Context, kind tables.Kind, seen tables.Revision) (tables.Value, error) {
	return c.value(ctx, kind, url.Values{"seen": {strconv.FormatUint(uint64(seen), 10)}})
}

func (c *Config) value(ctx context.Context, kind tables.Kind, query url.Values) (tables.Value, error) {
	u := *c.base.JoinPath("v1", "values", string(kind))
	u.RawQuery = query.Encode()
	response, err := get(ctx, c.client, u, acceptGzip())
	if err != nil {
		return tables.Value{}, err
	}
	defer func() { _ = response.Body.Close() }()
	revision, err := strconv.ParseUint(response.Header.Get("Revision"), 10, 64)
	if err != nil {
		return tables.Value{}, oops.In("edges").Wrap(fmt.Errorf("%w: no revision", ErrMalformed))
	}
	data, err := readBody(response, tables.MaxValueBytes)
	if err != nil {
		return tables.Value{}, oops.In("edges").Wrap(err)
	}
	return tables.Value{Revision: tables.Revision(revision), Data: data}, nil
}

// Fleet reads the platform's list of hosts. It implements hosts.Source.
// It is safe for concurrent use.
type Fleet struct {
	client *http.Client
	base   url.URL

	mutex sync.Mutex
	// last is the last list, if it came with an entity tag.
	last taggedList
}

// taggedList is a list of hosts and its entity tag.
type taggedList struct {
	tag string
	// hosts is never modified.
	hosts []hosts.Host
}

// NewFleet returns a client of the service at the base URL.
func NewFleet(client *http.Client, base url.URL) *Fleet { return &Fleet{client: client, base: base} }

type hostsDocument struct {
	Hosts []hostDocument `json:"hosts"`
}

type hostDocument struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Domain  string `json:"domain"`
	Role    string `json:"role"`
	State   string `json:"state"`
	Address string `json:"address"`
}

// Hosts implements hosts.Source. An unchanged list, by its entity tag, is not
// transferred again.
func (f *Fleet) Hosts(ctx context.Context) ([]hosts.Host, error) {
	last := f.cached()
	headers := acceptGzip()
	if last.tag != "" {
		headers.Set("If-None-Match", last.tag)
	}
	response, err := get(ctx, f.client, *f.base.JoinPath("v1", "hosts"), headers)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return slices.Clone(last.hosts), nil
	}
	data, err := readBody(response, maxHostsBytes)
	if err != nil {
		return nil, oops.In("edges").Wrap(err)
	}
	all, err := DecodeHosts(data)
	if err != nil {
		return nil, err
	}
	f.setCached(taggedList{tag: response.Header.Get("ETag"), hosts: slices.Clone(all)})
	return all, nil
}

func (f *Fleet) cached() taggedList {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.last
}

func (f *Fleet) setCached(r taggedList) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.last = taggedList{}
	if r.tag != "" {
		f.last = r
	}
}

// DecodeHosts decodes a list of hosts from JSON. A host without a name or a valid
// address makes the whole list ErrMalformed; an unknown state counts as live.
func DecodeHosts(data []byte) ([]hosts.Host, error) {
	var d hostsDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, oops.In("edges").Wrap(fmt.Errorf("%w: %w", ErrMalformed, err))
	}
	all := make([]hosts.Host, 0, len(d.Hosts))
	for _, h := range d.Hosts {
		host, err := h.host()
		if err != nil {
			return nil, err
		}
		all = append(all, host)
	}
	return all, nil
}

// EncodeHosts encodes a list in the format that DecodeHosts reads.
func EncodeHosts(all []hosts.Host) ([]byte, error) {
	d := hostsDocument{Hosts: []hostDocument{}}
	for _, h := range all {
		d.Hosts = append(d.Hosts, hostDocument{
			Name: string(h.Name), Region: string(h.Place.Region), Domain: string(h.Place.Domain),
			Role: string(h.Role), State: string(h.State), Address: h.Address.String(),
		})
	}
	return json.Marshal(d)
}

func (d hostDocument) host() (hosts.Host, error) {
	address, err := netip.ParseAddrPort(d.Address)
	if err != nil || d.Name == "" {
		return hosts.Host{}, oops.In("edges").With("host", d.Name).Wrap(fmt.Errorf("%w: host without name or address", ErrMalformed))
	}
	state := hosts.State(d.State)
	if state != hosts.StateLeaving {
		state = hosts.StateLive
	}
	return hosts.Host{
		Name:  hosts.Name(d.Name),
		Place: hosts.Place{Region: hosts.Region(d.Region), Domain: hosts.Domain(d.Domain)},
		Role:  hosts.Role(d.Role), State: state, Address: address,
	}, nil
}
