package relay

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"currantport.example/core/hosts"
	"currantport.example/core/tables"
	"currantport.example/core/wire"
)

// row is one row of a replicated table.
type row interface {
	RowName() string
}

// codec converts the rows of a table to bytes. Equal rows give equal bytes.
type codec[R row] struct {
	encode func(R) ([]byte, error)
	decode func([]byte) (R, error)
	// members returns the hosts that a row lists, ordered by name, or nil.
	members func(R) []hosts.Name
	// withMembers returns the row with other members.
	withMembers func(R, []hosts.Name) R
}

func routeCodec() codec[tables.Route] {
	return codec[tables.Route]{
		encode: func(r tables.Route) ([]byte, error) { return tables.EncodeRoutes([]tables.Route{r}) },
		decode: func(data []byte) (tables.Route, error) {
			return decodeSingle(tables.KindRoutes, data, tables.DecodeRoutes)
		},
		members:     func(tables.Route) []hosts.Name { return nil },
		withMembers: func(r tables.Route, _ []hosts.Name) tables.Route { return r },
	}
}

func poolCodec() codec[tables.Pool] {
	return codec[tables.Pool]{
		encode: func(p tables.Pool) ([]byte, error) { return tables.EncodePools([]tables.Pool{p}) },
		decode: func(data []byte) (tables.Pool, error) {
			return decodeSingle(tables.KindPools, data, tables.DecodePools)
		},
		members: func(p tables.Pool) []hosts.Name { return p.Hosts },
		withMembers: func(p tables.Pool, members []hosts.Name) tables.Pool {
			p.Hosts = members
			return p
		},
	}
}

func hostCodec() codec[hosts.Host] {
	return codec[hosts.Host]{
		encode: encodeHost, decode: decodeHost,
		members:     func(hosts.Host) []hosts.Name { return nil },
		withMembers: func(h hosts.Host, _ []hosts.Name) hosts.Host { return h },
	}
}

// decodeSingle decodes data that holds exactly one row.
func decodeSingle[R tables.Row](kind tables.Kind, data []byte, decode func([]byte) ([]R, []tables.RowError)) (R, error) {
	var zero R
	rows, rowErrors := decode(data)
	if len(rowErrors) > 0 {
		return zero, &tables.RefusedError{Table: kind, RowErrors: rowErrors}
	}
	if len(rows) != 1 {
		return zero, fmt.Errorf("%w: %d rows, want 1", errMalformedPart, len(rows))
	}
	return rows[0], nil
}

func encodeHost(h hosts.Host) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&wire.HostRow{
		Name: string(h.Name), Region: string(h.Place.Region), Domain: string(h.Place.Domain),
		Role: string(h.Role), State: string(h.State), Address: h.Address.String(),
	})
}

func decodeHost(data []byte) (hosts.Host, error) {
	var m wire.HostRow
	if err := proto.Unmarshal(data, &m); err != nil {
		return hosts.Host{}, fmt.Errorf("%w: %w", errMalformedPart, err)
	}
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil || m.Name == "" {
		return hosts.Host{}, fmt.Errorf("%w: host %q at %q", errMalformedPart, m.Name, m.Address)
	}
	return hosts.Host{
		Name:  hosts.Name(m.Name),
		Place: hosts.Place{Region: hosts.Region(m.Region), Domain: hosts.Domain(m.Domain)},
		Role:  hosts.Role(m.Role), State: hosts.State(m.State), Address: address,
	}, nil
}
