package drive

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"currantport.example/core/calls"
	"currantport.example/core/shell"
	"currantport.example/stand/internal/engine"
)

const (
	callWait    = 10 * time.Millisecond
	callTimeout = "5s"
	// ownKeys is how many bookings there are to one with a key of the caller.
	ownKeys = 4
)

var workspaces = []string{"harbour", "meadow"}

// callers send requests and check the answers.
type callers struct {
	driver *driver

	mutex    sync.Mutex
	tally    map[calls.Outcome]int
	reasons  map[string]int
	versions map[string]int
	// steady counts the outcomes since the first roll-out was complete. It is nil
	// before.
	steady map[string]int
	// faults holds the first wrong answers.
	faults []string
	keys   []string
}

func newCallers(d *driver) *callers {
	return &callers{
		driver: d, tally: make(map[calls.Outcome]int), reasons: make(map[string]int), versions: make(map[string]int),
	}
}

// start begins to send requests until the returned function is called, which
// may be called twice.
func (c *callers) start() func() {
	g := shell.NewGroup()
	for _, w := range workspaces {
		for _, k := range []callKind{callUnary, callStream, callBooking} {
			one := &caller{callers: c, workspace: w, kind: k}
			g.Go(one.run)
		}
	}
	return g.Stop
}

type callKind int

const (
	callUnary callKind = iota
	callStream
	callBooking
)

// caller sends requests of one kind, one after the other.
type caller struct {
	callers   *callers
	workspace string
	kind      callKind
	addresses []string
	expires   time.Time
	count     int
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.count++
		if c.kind == callBooking {
			c.book(ctx)
		} else {
			c.draft(ctx)
		}
		select {
		case <-time.After(callWait):
		case <-ctx.Done():
		}
	}
}

// book sends a booking and then the same one again through another address.
func (c *caller) book(ctx context.Context) {
	key := c.key(ctx)
	c.callers.addKey(key)
	body := []byte(fmt.Sprintf(`{"coach":%d}`, c.count))
	first, ok := c.send(ctx, bookingRoute, key, body)
	again, okAgain := c.send(ctx, bookingRoute, key, body)
	if ok && okAgain && !bytes.Equal(first, again) {
		c.callers.fault("resend of key %s: %q, then %q", key, first, again)
	}
}

// key returns a key that the system mints, or for every fourth booking one of
// the caller's own.
func (c *caller) key(ctx context.Context) string {
	own := uuid.NewString()
	address, err := c.address(ctx)
	if err != nil || c.count%ownKeys == 0 {
		return own
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/keys?route="+bookingRoute, http.NoBody)
	if err != nil {
		return own
	}
	a, err := c.callers.driver.client.Do(r)
	if err != nil {
		return own
	}
	defer func() { _ = a.Body.Close() }()
	if minted := a.Header.Get(calls.HeaderKey); minted != "" {
		return minted
	}
	return own
}

func (c *caller) draft(ctx context.Context) {
	body := []byte(fmt.Sprintf(`{"prompt":"%s %d"}`, c.workspace, c.count))
	answer, ok := c.send(ctx, modelRoute, "", body)
	if !ok {
		return
	}
	version, text, err := readAnswer(answer, c.kind == callStream)
	if err != nil {
		c.callers.fault("malformed answer: %v", err)
		return
	}
	manifest, known := c.callers.driver.manifests[version]
	if !known || text != engine.ResponseText(manifest.String(), body) {
		c.callers.fault("wrong answer of version %q to %s", version, body)
		return
	}
	c.callers.countVersion(version)
}

// send returns the whole answer, or false if there is none.
func (c *caller) send(ctx context.Context, route, key string, body []byte) ([]byte, bool) {
	address, err := c.address(ctx)
	if err != nil {
		c.callers.countOutcome(calls.OutcomeNotRun, "no-address")
		return nil, false
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/routes/"+route, bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(calls.HeaderWorkspace, c.workspace)
	r.Header.Set(calls.HeaderTimeout, callTimeout)
	if key != "" {
		r.Header.Set(calls.HeaderKey, key)
	}
	if c.kind == callStream {
		r.Header.Set("Accept", "text/event-stream")
	}
	a, err := c.callers.driver.client.Do(r)
	if err != nil {
		if ctx.Err() == nil {
			c.callers.countOutcome(calls.OutcomeUnknown, "connection")
		}
		return nil, false
	}
	defer func() { _ = a.Body.Close() }()
	return c.read(ctx, a)
}

func (c *caller) read(ctx context.Context, a *http.Response) ([]byte, bool) {
	data, err := io.ReadAll(a.Body)
	if err != nil {
		if ctx.Err() == nil {
			c.callers.countOutcome(calls.OutcomeUnknown, "truncated")
		}
		return nil, false
	}
	outcome := calls.Outcome(a.Header.Get(calls.HeaderOutcome))
	if outcome == "" && bytes.Contains(data, []byte("event: end\n")) {
		outcome = calls.OutcomeAnswered
	}
	if outcome == calls.OutcomeAnswered {
		c.callers.countOutcome(outcome, "")
		return data, true
	}
	var problem struct {
		Reason string `json:"reason"`
	}
	_ = json.Unmarshal(data, &problem)
	c.callers.countOutcome(outcome, problem.Reason)
	return nil, false
}

func (c *caller) address(ctx context.Context) (string, error) {
	if time.Now().After(c.expires) || len(c.addresses) == 0 {
		if err := c.lookUp(ctx); err != nil {
			return "", err
		}
	}
	return c.addresses[c.count%len(c.addresses)], nil
}

func (c *caller) lookUp(ctx context.Context) error {
	var last error
	for _, h := range c.callers.driver.plan.Hosts {
		if h.Role != "entry" {
			continue
		}
		var d struct {
			Addresses []string `json:"addresses"`
			Lifetime  string   `json:"lifetime"`
		}
		last = c.callers.driver.getJSON(ctx, c.callers.driver.at(h.Address, "/v1/addresses"), &d)
		if last == nil && len(d.Addresses) > 0 {
			lifetime, _ := time.ParseDuration(d.Lifetime)
			c.addresses, c.expires = d.Addresses, time.Now().Add(lifetime)
			return nil
		}
	}
	return fmt.Errorf("no address: %w", last)
}

func (c *callers) countOutcome(o calls.Outcome, reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tally[o]++
	if c.steady != nil {
		c.steady[strings.TrimSuffix(string(o)+"/"+reason, "/")]++
	}
	if reason != "" {
		c.reasons[string(o)+"/"+reason]++
	}
}

// markSteady begins to count the outcomes apart.
func (c *callers) markSteady() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.steady = make(map[string]int)
}

func (c *callers) countVersion(version string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.versions[version]++
}

func (c *callers) fault(format string, values ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, values...))
}

func (c *callers) addKey(key string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keys = append(c.keys, key)
}

type token struct {
	Token   int    `json:"token"`
	Version string `json:"version"`
	Text    string `json:"text"`
}

// readAnswer returns the version and the text of an answer of an engine.
func readAnswer(data []byte, stream bool) (version, text string, err error) {
	if !stream {
		var t token
		err := json.Unmarshal(data, &t)
		return t.Version, t.Text, err
	}
	ended := false
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		line := lines.Text()
		if line == "event: end" {
			ended = true
		}
		body, ok := strings.CutPrefix(line, "data: ")
		if !ok || ended {
			continue
		}
		var t token
		if err := json.Unmarshal([]byte(body), &t); err != nil {
			return "", "", err
		}
		if version != "" && t.Version != version {
			return "", "", fmt.Errorf("versions %s and %s in one answer", version, t.Version)
		}
		version = t.Version
		text += t.Text
	}
	if !ended {
		return "", "", io.ErrUnexpectedEOF
	}
	return version, text, nil
}
