package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"

	"github.com/google/subcommands"

	"currantport.example/admin/internal/impact"
	"currantport.example/core/chunks"
	"currantport.example/core/edges"
	"currantport.example/core/links"
	"currantport.example/core/shell"
	"currantport.example/core/tables"
)

// checkCommand validates tables by the rules that every process of the fleet
// applies.
type checkCommand struct {
	routes string
	pools  string
	// against is the address of an entry whose active tables the files are
	// compared with, or empty.
	against string
	// origin is the base URL of the store or origin from which manifests are
	// read to estimate the bytes to transfer, or empty.
	origin string
}

func (c *checkCommand) Name() string     { return "check" }
func (c *checkCommand) Synopsis() string { return "check tables and print every validation error" }
func (c *checkCommand) Usage() string {
	return "admin check [-routes FILE] [-pools FILE] [-against ADDRESS [-origin URL]]\n  example: admin check -routes routes.json -pools pools.json\n"
}

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.routes, "routes", "", "file of the routes table")
	f.StringVar(&c.pools, "pools", "", "file of the pools table")
	f.StringVar(&c.against, "against", "", "address of an entry whose active tables are compared")
	f.StringVar(&c.origin, "origin", "", "base URL of the origin whose manifests are read to estimate the bytes of a change")
}

func (c *checkCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.routes == "" && c.pools == "" {
		return shell.ExitUsage
	}
	routes, routeErrors, err := decodeFile(c.routes, tables.DecodeRoutes)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return shell.ExitFailure
	}
	pools, poolErrors, err := decodeFile(c.pools, tables.DecodePools)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return shell.ExitFailure
	}
	rowErrors := slices.Concat(routeErrors, poolErrors)
	if c.routes != "" && c.pools != "" {
		rowErrors = append(rowErrors, danglingRoutes(routes, pools)...)
	}
	for _, e := range rowErrors {
		fmt.Println(e)
	}
	if len(rowErrors) > 0 {
		return shell.ExitInvalid
	}
	fmt.Printf("valid=true routes=%d pools=%d\n", len(routes), len(pools))
	return c.compare(ctx, routes, pools)
}

// compare prints the effects that the change would have on the fleet.
func (c *checkCommand) compare(ctx context.Context, routes []tables.Route, pools []tables.Pool) subcommands.ExitStatus {
	if c.against == "" {
		return shell.ExitOK
	}
	at, err := netip.ParseAddrPort(c.against)
	if err != nil {
		return shell.ExitUsage
	}
	m, stop, err := c.manifests()
	if err != nil {
		return shell.ExitUsage
	}
	defer stop()
	s, err := impact.Fetch(ctx, at)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return shell.ExitFailure
	}
	if c.routes != "" {
		impact.PrintRoutes(s, routes)
	}
	if c.pools != "" {
		effects := impact.Effects(s, pools)
		impact.EstimateVolumes(ctx, s, pools, effects, m)
		for _, e := range effects {
			e.Print()
		}
	}
	return shell.ExitOK
}

var errNoOrigin = errors.New("no -origin given")

// noManifests is used if no origin is given. Every read fails.
type noManifests struct{}

// Manifest implements impact.Manifests.
func (noManifests) Manifest(context.Context, chunks.Digest) ([]byte, error) { return nil, errNoOrigin }

// manifests returns the source of manifests and its clean-up function.
func (c *checkCommand) manifests() (impact.Manifests, func(), error) {
	if c.origin == "" {
		return noManifests{}, func() {}, nil
	}
	base, err := url.Parse(c.origin)
	if err != nil {
		return nil, nil, err
	}
	client, stop := links.NewDownloadClient(nil)
	return edges.NewWeights(client, *base), stop, nil
}

func decodeFile[R tables.Row](file string, decode func([]byte) ([]R, []tables.RowError)) ([]R, []tables.RowError, error) {
	if file == "" {
		return nil, nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	rows, rowErrors := decode(data)
	return rows, rowErrors, nil
}

func danglingRoutes(routes []tables.Route, pools []tables.Pool) []tables.RowError {
	known := make(map[string]bool)
	for _, p := range pools {
		known[p.Name] = true
	}
	var rowErrors []tables.RowError
	for _, r := range routes {
		if !known[r.Pool] {
			rowErrors = append(rowErrors, tables.RowError{
				Table: tables.KindRoutes, Row: r.Name, Field: "pool", Reason: "names pool " + r.Pool + ", which isn't in the pools table",
			})
		}
	}
	return rowErrors
}
