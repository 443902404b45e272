package main

import (
	"sync"
	"time"
)

// tenant is a tenant of the configuration with its key. An empty key is one that was taken away.
type tenant struct{ name, key string }

// keysConfig returns the configuration of the case of the keys.
func keysConfig(version int, tenants []tenant) map[string]any {
	var all []any
	for _, t := range tenants {
		keys := []string{}
		if t.key != "" {
			keys = append(keys, t.key)
		}
		all = append(all, map[string]any{"Name": t.name, "ApiKeys": keys})
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-fees", "Host": "fees.example", "Prefix": "/fees/", "RouteKind": "non_idempotent", "TimeoutMs": 800, "SloMs": 150,
			"Priority": 2, "Service": "ledger", "MaxAttempts": 1, "Anonymous": false,
		}},
		"Services": []any{map[string]any{"Name": "ledger", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  all,
	}
}

const unknownKey = "never-in-any-configuration"

// playKeys takes the keys of both tenants away, one after the other, and goes on sending with them and
// with a key that no configuration ever held. It returns whether the rules held.
func playKeys(w *world, trouble bool) (bool, error) {
	const (
		interval = 100 * time.Millisecond
		gap      = 1500 * time.Millisecond
		settled  = 3 * time.Second
		after    = revokeTime + 10*time.Second
	)
	tenants := []tenant{{"parish", "k-parish-71c2"}, {"school", "k-school-90ab"}}
	w.store.put("op/config", keysConfig(4, tenants))
	var runners []*plainRunner
	for i, id := range []string{"i-ledger-1", "i-ledger-2"} {
		p, err := w.addPlain(id, "ledger", address(21, i+1), 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		runners = append(runners, p)
	}
	if err := w.addEntries(2); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)

	var mutex sync.Mutex
	var group sync.WaitGroup
	answers := make(map[string][]answer)
	begin := time.Now()
	end := begin.Add(settled + gap + after)
	keys := []string{tenants[0].key, tenants[1].key, unknownKey}
	for i, key := range keys {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				q := request{id: nextID("fee"), method: "POST", host: "fees.example", path: "/fees/post", key: key, body: "entry fee", deadline: 1500 * time.Millisecond}
				e := w.entries[(n+i)%len(w.entries)]
				w.record.line("sent    %s to %s with key %s", q.id, e.name, key)
				a := send(e.frontend, q)
				w.record.line("answer  %s: %v", q.id, a)
				mutex.Lock()
				answers[key] = append(answers[key], a)
				mutex.Unlock()
				time.Sleep(interval)
			}
		})
	}
	revokedAt := make(map[string]time.Time)
	time.Sleep(settled)
	if trouble {
		for i := range tenants {
			key := tenants[i].key
			tenants[i].key = ""
			revokedAt[key] = w.store.put("op/config", keysConfig(5+2*i, tenants))
			w.record.say("ack of version %d, which takes key %s away", 5+2*i, key)
			time.Sleep(gap)
		}
	}
	group.Wait()
	held := true
	for _, key := range keys {
		late, ran, refused, untagged := 0, 0, 0, 0
		for _, a := range answers[key] {
			at, revoked := revokedAt[key]
			if key != unknownKey && (!revoked || a.sentAt.Before(at.Add(revokeTime))) {
				continue
			}
			late++
			if a.status == 401 {
				refused++
			}
			for _, p := range runners {
				for _, r := range p.runsOf(a.id) {
					ran++
					if r.tenant == "" {
						untagged++
					}
				}
			}
		}
		what := "sent later than RevokeMs after the ack that took the key away"
		if key == unknownKey {
			what = "sent with a key that no configuration ever held"
		}
		w.record.say("key %s: %d requests in all, %d %s: %d ran (%d without a tenant), %d were answered 401", key, len(answers[key]), late, what, ran, untagged, refused)
		held = held && ran == 0
	}
	served := 0
	for _, key := range keys[:2] {
		for _, a := range answers[key] {
			if a.status == 200 {
				served++
			}
		}
	}
	w.record.say("%d requests with keys of the configuration were served", served)
	if served == 0 {
		return false, errNothingServed
	}
	return held, nil
}
