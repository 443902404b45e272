package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/calls"
	"currantport.example/core/dedup"
	"currantport.example/core/hosts"
)

var self = dedup.Owner{Host: "a", Incarnation: "one"}

func newMemory(maxKeys int) *dedup.Memory {
	o := dedup.Options{Self: self, MaxResponseBytes: 1024, MaxKeys: maxKeys, MaxAttempts: 4, KeyTTL: time.Hour}
	return dedup.NewMemory(o, dedup.NewClaims(epoch, self, bounds))
}

func attemptOf(key calls.Key, body string) dedup.Attempt {
	r := calls.Request{Key: key, Workspace: "meadow", Route: routeName}
	return dedup.Attempt{ID: "1", Key: dedup.ScopedKeyOf(r), Digest: dedup.DigestOf("meadow", routeName, "", []byte(body))}
}

// step is one call of a memory and the expected result.
type step struct {
	// do is begin, finish, lose, undo or settle.
	do   string
	key  int
	body string
	// after is the time that passes before the step.
	after time.Duration
	// token presents the last token.
	token bool
	want  string
}

func TestMemoryStates(t *testing.T) {
	body := string(make([]byte, 600))
	cases := map[string][]step{
		"replay":        {{do: "begin", want: "start"}, {do: "begin", want: "join"}, {do: "finish"}, {do: "begin", want: "replay"}, {do: "settle", want: "ran"}},
		"lost":          {{do: "begin", want: "start"}, {do: "lose"}, {do: "begin", want: "unknown/lost"}},
		"reused":        {{do: "begin", want: "start"}, {do: "begin", body: "other", want: "not-run/key-reused"}, {do: "finish"}, {do: "begin", body: "other", want: "not-run/key-reused"}},
		"fenced":        {{do: "settle", want: "fenced"}, {do: "begin", want: "not-run/fenced"}, {do: "begin", token: true, want: "start"}},
		"stale-token":   {{do: "settle", want: "fenced"}, {do: "settle", want: "fenced", token: true}, {do: "begin", want: "not-run/fenced"}},
		"undone":        {{do: "begin", want: "start"}, {do: "undo", want: "not-run/upstream"}, {do: "begin", want: "not-run/fenced"}},
		"forgotten":     {{do: "begin", want: "start"}, {do: "finish"}, {do: "begin", after: time.Hour, want: "unknown/lost"}},
		"older-serial":  {{do: "begin", key: 1, want: "start"}, {do: "finish", key: 1}, {do: "begin", after: time.Hour, want: "unknown/lost"}, {do: "begin", key: 2, want: "start"}},
		"full":          {{do: "begin", want: "start"}, {do: "begin", key: 1, want: "start"}, {do: "begin", key: 2, want: "not-run/overload"}, {do: "settle", key: 3, want: "fenced"}, {do: "settle", key: 4, want: "unknown"}, {do: "finish"}, {do: "begin", want: "replay"}},
		"answers-bound": {{do: "begin", body: body, want: "start"}, {do: "finish", body: body}, {do: "begin", key: 1, body: body, want: "start"}, {do: "finish", key: 1, body: body}, {do: "begin", body: body, want: "unknown/lost"}, {do: "begin", key: 1, body: body, want: "replay"}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMemory(2)
			var keys []calls.Key
			for range 5 {
				keys = append(keys, m.Mint())
			}
			now, token := epoch, ""
			for i, s := range steps {
				now = now.Add(s.after)
				a := attemptOf(keys[s.key], s.body)
				if s.token {
					a.Token = dedup.ParseToken(token)
				}
				got, refusal := applyStep(m, now, a, s)
				if refusal != nil {
					got, token = string(refusal.Outcome)+"/"+string(refusal.Reason), refusal.Token
				}
				if s.do == "settle" {
					token = m.Token().String()
				}
				if got != s.want {
					t.Fatalf("step %d: got %q, want %q", i, got, s.want)
				}
			}
		})
	}
}

func applyStep(m *dedup.Memory, now time.Time, a dedup.Attempt, s step) (string, *calls.Refusal) {
	switch s.do {
	case "begin":
		v := m.Begin(now, a)
		return map[dedup.Action]string{dedup.ActionStart: "start", dedup.ActionJoin: "join", dedup.ActionReplay: "replay"}[v.Action], v.Refusal
	case "finish":
		m.Finish(now, a, &dedup.Response{Body: []byte(s.body)})
	case "lose":
		m.Finish(now, a, nil)
	case "undo":
		return "", m.RecordNotRun(now, a, calls.NotRun(calls.ReasonUpstream, 0, "")).Refusal
	case "settle":
		return string(m.Settle(now, a).State), nil
	}
	return "", nil
}

func TestMemoryScopesOpaqueKeys(t *testing.T) {
	names := map[dedup.ScopedKey]bool{}
	for _, r := range []calls.Request{
		{Key: "k", Workspace: "meadow", Route: "book"},
		{Key: "k", Workspace: "harbour", Route: "book"},
		{Key: "k", Workspace: "meadow", Route: "fee"},
	} {
		names[dedup.ScopedKeyOf(r)] = true
	}
	if len(names) != 3 {
		t.Errorf("%d names for 3 requests", len(names))
	}
}

func TestMemoryAttempts(t *testing.T) {
	m := newMemory(2)
	old := m.Token()
	try := func(id string, token dedup.Token) dedup.Attempt {
		return dedup.Attempt{ID: calls.ID(id), Token: token}
	}
	steps := []struct {
		got  any
		want any
	}{
		{m.Begin(epoch, try("ran", old)).Action, dedup.ActionStart},
		{m.Begin(epoch, try("ran", old)).Refusal.Outcome, calls.OutcomeUnknown},
		{m.Settle(epoch, try("ran", old)).State, dedup.StateRunning},
		{m.Settle(epoch, try("unsent", old)).State, dedup.StateFenced},
		{m.Begin(epoch, try("unsent", old)).Refusal.Outcome, calls.OutcomeNotRun},
		{m.Settle(epoch, try("other", dedup.Token{Incarnation: "earlier"})).State, dedup.StateUnknown},
		{m.Begin(epoch, try("other", dedup.Token{Incarnation: "earlier"})).Refusal.Outcome, calls.OutcomeNotRun},
		{m.Begin(epoch, try("first", dedup.Token{})).Action, dedup.ActionStart},
		{m.Settle(epoch, try("second", dedup.Token{})).State, dedup.StateUnknown},
	}
	for i, s := range steps {
		if s.got != s.want {
			t.Errorf("step %d: got %v, want %v", i, s.got, s.want)
		}
	}
	for i := range 5 {
		m.Settle(epoch, try(fmt.Sprint(i), m.Token()))
	}
	if s := m.Settle(epoch, try("unsent", old)).State; s != dedup.StateUnknown {
		t.Errorf("a dropped attempt is %s", s)
	}
	if r := m.Begin(epoch, try("unsent", old)).Refusal; r == nil {
		t.Error("a dropped attempt runs")
	}
}

// TestClaimsDuringRowChange has one part of the hosts on the old row and another on
// the new one, while both receive the same key.
func TestClaimsDuringRowChange(t *testing.T) {
	rows := []dedup.Row{
		{Revision: dedup.RowRevision{Pools: 1}, Hosts: []hosts.Name{"a"}}, {Revision: dedup.RowRevision{Pools: 2}, Hosts: []hosts.Name{"b"}},
	}
	listed := []hosts.Name{"a", "b"}
	var all []*dedup.Memory
	var claims []*dedup.Claims
	for i, n := range listed {
		o := dedup.Owner{Host: n, Incarnation: dedup.Incarnation(n)}
		claims = append(claims, dedup.NewClaims(epoch, o, bounds))
		all = append(all, dedup.NewMemory(dedup.DefaultOptions(o), claims[i]))
		claims[i].Update(routeName, rows[i])
	}
	now := epoch.Add(4 * horizon)
	hold := func(i int) {
		k, missing := claims[i].Pending(routeName, listed)
		for range missing {
			if claims[1-i].Yield(k) && all[i].Adopt(now, all[1-i].HeldKeys(k)) {
				claims[i].RecordGrant(k, listed[1-i], epoch)
			}
		}
		all[i].ActivateClaim(now, routeName, listed)
	}
	claims[1].Update(routeName, dedup.Row{})
	k, _ := claims[0].Pending(routeName, listed)
	claims[0].RecordGrant(k, "b", epoch)
	all[0].ActivateClaim(now, routeName, listed)
	a := attemptOf("order-1", "")
	if v := all[0].Begin(now, a); v.Action != dedup.ActionStart {
		t.Fatalf("the first owner refuses: %v", v.Refusal)
	}
	all[1].ActivateClaim(now, routeName, listed)
	if v := all[1].Begin(now, a); v.Refusal == nil || v.Refusal.Outcome != calls.OutcomeUnknown {
		t.Errorf("the new owner starts the key without a grant of the old one: %v", v)
	}
	hold(1)
	want := dedup.Owner{Host: "a", Incarnation: "a"}
	if v := all[1].Begin(now, a); cmp.Diff(want, v.Owner) != "" {
		t.Errorf("the new owner doesn't know who ran the key: %v", v)
	}
	if v := all[0].Begin(now, attemptOf("order-2", "")); v.Refusal == nil {
		t.Error("the old owner starts a key after it has granted the claim")
	}
	if v := all[1].Begin(now, attemptOf("order-2", "")); v.Action != dedup.ActionStart {
		t.Errorf("the new owner refuses a new key: %v", v.Refusal)
	}
	hold(0)
	if v := all[0].Begin(now, attemptOf("order-3", "")); v.Refusal == nil {
		t.Error("the old row reclaims the keys")
	}
}

// TestAdoptCountsOnlyNewKeys hands keys over twice, and one key as started that is fenced here,
// to a memory that is full with them.
func TestAdoptCountsOnlyNewKeys(t *testing.T) {
	other := dedup.Owner{Host: "b", Incarnation: "two"}
	held := func(owner dedup.Owner, keys ...calls.Key) (all []dedup.HeldKey) {
		for _, k := range keys {
			all = append(all, dedup.HeldKey{Key: attemptOf(k, "").Key, Owner: owner})
		}
		return all
	}
	m := newMemory(2)
	for _, c := range []struct {
		name string
		held []dedup.HeldKey
		want bool
	}{
		{"two started and two fenced", append(held(other, "a", "b"), held(dedup.Owner{}, "c", "d")...), true},
		{"the same again", append(held(other, "a", "b"), held(dedup.Owner{}, "c", "d")...), true},
		{"a third started", held(other, "e"), false},
		{"a third fenced", held(dedup.Owner{}, "e"), false},
		{"a fenced one as started, of two", held(other, "c"), false},
	} {
		if got := m.Adopt(epoch, c.held); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if m.Len() != 4 {
		t.Errorf("%d keys, want 4", m.Len())
	}
}
