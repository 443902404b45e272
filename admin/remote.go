package main

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"currantport.example/admin/internal/impact"
	"currantport.example/core/links"
	"currantport.example/core/shell"
	"currantport.example/core/wire"
)

const callTimeout = 5 * time.Second

// targets holds the flag of the commands that call processes.
type targets struct{ addresses string }

func (t *targets) SetFlags(f *flag.FlagSet) {
	f.StringVar(&t.addresses, "addresses", "", "addresses of the processes, joined by commas")
}

// forEach calls the function for every address and prints the errors. It returns
// ExitFailure if a call failed and stops at an invalid address.
func (t *targets) forEach(ctx context.Context, call func(ctx context.Context, at netip.AddrPort, c wire.AdminClient) error) subcommands.ExitStatus {
	client, stop := links.NewPeerClient(nil)
	defer stop()
	status := shell.ExitOK
	for text := range strings.SplitSeq(t.addresses, ",") {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			fmt.Fprintf(os.Stderr, "address=%q fault=%q\n", text, "must be an IP address and a port")
			return shell.ExitUsage
		}
		if err := callProcess(ctx, at, wire.NewAdminClient(client, "http://"+text), call); err != nil {
			fmt.Fprintf(os.Stderr, "address=%s fault=%q\n", text, err.Error())
			status = shell.ExitFailure
		}
	}
	return status
}

func callProcess(ctx context.Context, at netip.AddrPort, c wire.AdminClient, call func(context.Context, netip.AddrPort, wire.AdminClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx, at, c)
}

// statusCommand prints the state of processes.
type statusCommand struct {
	targets
	replies []*wire.StatusReply
}

func (c *statusCommand) Name() string     { return "status" }
func (c *statusCommand) Synopsis() string { return "print the state of processes" }
func (c *statusCommand) Usage() string {
	return "admin status -addresses LIST\n  example: admin status -addresses 127.10.1.1:7000,127.10.2.1:7000\n"
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	status := c.forEach(ctx, c.print)
	regions := impact.Summarize(c.replies)
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		regions[name].Print(name)
	}
	return status
}

func (c *statusCommand) print(ctx context.Context, at netip.AddrPort, a wire.AdminClient) error {
	r, err := a.Status(ctx, connect.NewRequest(&wire.StatusRequest{}))
	if err != nil {
		return err
	}
	s := r.Msg
	c.replies = append(c.replies, s)
	fmt.Printf("address=%s host=%s role=%s region=%s domain=%s leaving=%t", at, s.Host, s.Role, s.Region, s.Domain, s.Leaving)
	for _, m := range s.Marks {
		fmt.Printf(" %s=%d", m.Table, m.Revision)
	}
	for _, f := range s.Facts {
		fmt.Printf(" %s=%s", f.Name, f.Value)
	}
	fmt.Println()
	for _, o := range s.Rollouts {
		fmt.Printf("address=%s pool=%s version=%s step=%s held=%d chunks=%d origin=%dB peers=%dB memory=%dB fault=%q\n",
			at, o.Pool, o.Version, o.Step, o.Held, o.Chunks, o.Origin, o.Peers, o.Memory, o.Fault)
	}
	return nil
}

// auditCommand prints the audit trail of processes.
type auditCommand struct{ targets }

func (c *auditCommand) Name() string     { return "audit" }
func (c *auditCommand) Synopsis() string { return "print the audit trail of processes" }
func (c *auditCommand) Usage() string {
	return "admin audit -addresses LIST\n  example: admin audit -addresses 127.10.2.1:7000\n"
}

func (c *auditCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.forEach(ctx, printAudit)
}

func printAudit(ctx context.Context, at netip.AddrPort, c wire.AdminClient) error {
	r, err := c.Audit(ctx, connect.NewRequest(&wire.AuditRequest{}))
	if err != nil {
		return err
	}
	for _, e := range r.Msg.Entries {
		fmt.Printf("address=%s serial=%d time=%s event=%s subject=%q cause=%q", at, e.Serial,
			time.UnixMilli(e.Time).UTC().Format(time.RFC3339Nano), e.Event, e.Subject, e.Cause)
		for _, f := range e.Facts {
			fmt.Printf(" %s=%q", f.Name, f.Value)
		}
		fmt.Println()
	}
	return nil
}

// drainCommand makes processes stop accepting work.
type drainCommand struct {
	targets
	cause string
}

func (c *drainCommand) Name() string     { return "drain" }
func (c *drainCommand) Synopsis() string { return "make processes stop accepting work" }
func (c *drainCommand) Usage() string {
	return "admin drain -addresses LIST [-cause TEXT]\n  example: admin drain -addresses 127.10.2.1:7000 -cause maintenance\n"
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	c.targets.SetFlags(f)
	f.StringVar(&c.cause, "cause", "operator", "cause for the audit trail")
}

func (c *drainCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.forEach(ctx, c.drain)
}

func (c *drainCommand) drain(ctx context.Context, at netip.AddrPort, a wire.AdminClient) error {
	if _, err := a.Drain(ctx, connect.NewRequest(&wire.DrainRequest{Cause: c.cause})); err != nil {
		return err
	}
	fmt.Printf("address=%s draining=true\n", at)
	return nil
}
