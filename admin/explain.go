package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"currantport.example/core/choice"
	"currantport.example/core/links"
	"currantport.example/core/shell"
)

// maxExplanationBytes bounds the response of an entry.
const maxExplanationBytes = 64 << 20

// explainCommand prints where an entry would send a request.
type explainCommand struct {
	route     string
	workspace string
	model     string
	prompt    int
	timeout   time.Duration
}

func (c *explainCommand) Name() string { return "explain" }

func (c *explainCommand) Synopsis() string { return "print where an entry would send a request now" }

func (c *explainCommand) Usage() string {
	return "admin explain -route NAME [-workspace NAME] [-model NAME] [-prompt TOKENS] [-timeout TIME] ADDRESS\n" +
		"  ADDRESS is the administration address of the entry, which also serves its metrics\n" +
		"  example: admin explain -route chat -workspace harbour -prompt 900 127.10.1.1:7004\n"
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.route, "route", "", "name of the route")
	f.StringVar(&c.workspace, "workspace", "", "name of the workspace; empty for a route without keys")
	f.StringVar(&c.model, "model", "", "model; needed if a pool serves several")
	f.IntVar(&c.prompt, "prompt", 0, "length of the prompt in tokens")
	f.DurationVar(&c.timeout, "timeout", 0, "timeout that the client states, or 0")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	at, err := netip.ParseAddrPort(f.Arg(0))
	if err != nil || f.NArg() != 1 || c.route == "" {
		fmt.Fprint(os.Stderr, "usage: ", c.Usage())
		return shell.ExitUsage
	}
	client, stop := links.NewClient(nil)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d, err := c.fetch(ctx, client, at)
	if err != nil {
		fmt.Fprintf(os.Stderr, "address=%s fault=%q\n", at, err.Error())
		return shell.ExitFailure
	}
	var text bytes.Buffer
	printExplanation(&text, d)
	if _, err := os.Stdout.Write(text.Bytes()); err != nil {
		return shell.ExitFailure
	}
	return shell.ExitOK
}

// fetch gets the explanation from the entry.
func (c *explainCommand) fetch(ctx context.Context, client *http.Client, at netip.AddrPort) (choice.Document, error) {
	q := url.Values{choice.QueryRoute: {c.route}, choice.QueryPrompt: {strconv.Itoa(c.prompt)}}
	for name, value := range map[string]string{choice.QueryWorkspace: c.workspace, choice.QueryModel: c.model} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if c.timeout != 0 {
		q.Set(choice.QueryTimeout, strconv.FormatInt(c.timeout.Milliseconds(), 10))
	}
	u := url.URL{Scheme: "http", Host: at.String(), Path: choice.Path, RawQuery: q.Encode()}
	var d choice.Document
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return d, err
	}
	response, err := client.Do(r)
	if err != nil {
		return d, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return d, err
	}
	if response.StatusCode != http.StatusOK {
		var fault choice.ErrorDocument
		if err := json.Unmarshal(body, &fault); err != nil || fault.Fault == "" {
			return d, fmt.Errorf("status %d; is this the administration address of an entry?", response.StatusCode)
		}
		return d, fmt.Errorf("status %d: %s", response.StatusCode, fault.Fault)
	}
	return d, json.Unmarshal(body, &d)
}

func printExplanation(w *bytes.Buffer, d choice.Document) {
	fmt.Fprintf(w, "entry=%s era=%d revision=%d copyage=%s\n", d.Entry, d.Era, d.Revision, ms(d.CopyAge))
	printRefusal(w, "", d.Refusal)
	for _, p := range d.Pools {
		homes := "any"
		if p.Bound {
			homes = cmp.Or(strings.Join(p.Homes, ","), "none")
		}
		fmt.Fprintf(w, "pool=%s share=%.2f model=%s homes=%s level=%d levels=%d objective=%s\n", p.Pool, p.Share, p.Model, homes, p.Level, p.Levels, ms(p.Remaining))
		for i := range p.Candidates {
			printCandidate(w, p.Unit, &p.Candidates[i])
		}
		printRefusal(w, p.Pool, p.Refusal)
		if p.Choice != "" {
			fmt.Fprintf(w, "pool=%s choice=%s", p.Pool, p.Choice)
			if p.Second != "" {
				fmt.Fprintf(w, " second=%s margin=%s", p.Second, amount(p.Margin, p.Unit))
			}
			fmt.Fprintln(w)
		}
	}
}

func printCandidate(w *bytes.Buffer, unit string, c *choice.CandidateDocument) {
	fmt.Fprintf(w, "upstream=%s domain=%s region=%s running=%d unread=%d", c.Upstream, c.Domain, c.Region, c.Running, c.Unread)
	if c.Reported {
		fmt.Fprintf(w, " age=%s pace=%.2f", ms(c.Age), c.Pace)
	} else {
		fmt.Fprint(w, " age=none")
	}
	if c.Silence > 0 {
		fmt.Fprintf(w, " silence=%s", ms(c.Silence))
	}
	fmt.Fprintf(w, " version=%d", c.Version)
	if c.Ending {
		fmt.Fprintf(w, " ends=%s", ms(c.Ends))
	}
	fmt.Fprintf(w, " predicted=%s", ms(c.Predicted))
	if c.Limit > 0 {
		fmt.Fprintf(w, " limit=%g owner=%s", c.Limit, c.Owner)
	}
	fmt.Fprintf(w, " cost=%s jitter=%s", amount(c.Cost, unit), amount(c.Jitter, unit))
	for _, part := range c.Costs {
		fmt.Fprintf(w, " cost.%s=%s", part.Name, amount(part.Value, unit))
	}
	if unit == "ms" {
		fmt.Fprintf(w, " free=%d needed=%d", c.Free, c.Needed)
	}
	fmt.Fprintf(w, " admitted=%t", c.Admitted)
	if len(c.Excluded) > 0 {
		fmt.Fprintf(w, " excluded=%s", strings.Join(c.Excluded, ","))
	}
	fmt.Fprintln(w)
}

func printRefusal(w *bytes.Buffer, pool string, r *choice.RefusalDocument) {
	if r == nil {
		return
	}
	if pool != "" {
		fmt.Fprintf(w, "pool=%s ", pool)
	}
	fmt.Fprintf(w, "refused=%s detail=%q wait=%s latest=%s held=%s\n", r.Reason, r.Detail, ms(r.Wait), ms(r.Latest), ms(r.Held))
}

// ms formats a time in milliseconds with its unit, as other commands print times.
func ms(value float64) string {
	return time.Duration(value * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

// amount formats a cost in the unit of its pool, milliseconds or requests.
func amount(value float64, unit string) string {
	if unit == "ms" {
		return ms(value)
	}
	return strconv.FormatFloat(value, 'f', 2, 64)
}
