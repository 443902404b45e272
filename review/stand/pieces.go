package main

import (
	"fmt"
	"sync"
	"time"
)

// enginesConfig returns a configuration with a service of model runners and the origin of their weights.
func enginesConfig(origin string) map[string]any {
	return map[string]any{
		"Version": 4,
		"Routes": []any{map[string]any{
			"Name": "r-draft", "Host": "draft.example", "Prefix": "/draft/", "RouteKind": "streaming", "TimeoutMs": 6000, "SloMs": 400,
			"Priority": 1, "Service": "showmind", "MaxAttempts": 2, "Anonymous": false, "Sticky": true, "Resumable": true, "GapTargetMs": 400,
		}},
		"Services": []any{
			map[string]any{
				"Name": "showmind", "HealthPath": "/healthz", "MaxConns": 364, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{
					"Slots": engineSlot, "KvCapacity": 1180000, "KvBytes": 163840, "LinkMbps": 400000.0, "Stride": 5,
					"Models":  []any{map[string]any{"Name": modelName, "pace": 1.0, "LoadS": 4.0, "WarmS": warmTime.Seconds()}},
					"SizeMb":  266000.0,
					"step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048,
					"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 977, "answer": 94}, "layers": layerCount, "layer_mb": 4540.0,
					"act_bytes": 16384, "Chunks": pieceCount, "ChunkBytes": pieceBytes,
				},
			},
			map[string]any{"Name": "gatehouse", "Origin": origin, "Zone": domain, "LinkMbps": 9.9, "MaxConns": 48},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "parish", "ApiKeys": []string{"k-parish-71c2"}}},
	}
}

// addEngines starts the origin, two model runners with their agents and two entries, and waits until the
// entries are ready.
func (w *world) addEngines(all weights) ([]*engine, error) {
	at, err := w.serve(address(31, 1), &origin{weights: all, record: w.record})
	if err != nil {
		return nil, err
	}
	w.store.put("op/config", enginesConfig(at))
	var engines []*engine
	for i := range 2 {
		e, err := w.addEngine(fmt.Sprintf("i-showmind-%d", i+1), "showmind", address(20, i+1), all)
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	if err := w.addEntries(2); err != nil {
		return nil, err
	}
	for i, e := range engines {
		if _, err := w.addAgent(fmt.Sprintf("side-may-pen-a-%d", i+1), address(20, i+1), "showmind", e.address); err != nil {
			return nil, err
		}
	}
	return engines, w.awaitReady(20 * time.Second)
}

// drafts sends streaming requests at an interval until the end.
func (w *world) drafts(interval time.Duration, end time.Time) []answer {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var all []answer
	for n := 0; time.Now().Before(end); n++ {
		q := request{
			id: nextID("draft"), method: "POST", host: "draft.example", path: "/draft/entry", key: "k-parish-71c2", body: "draft", deadline: 6 * time.Second,
			header: map[string]string{
				"X-Currantport-Model": modelName, "X-Currantport-Token-Usage": "60,40",
				"X-Currantport-Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%08x:20", n),
			},
		}
		e := w.entries[n%len(w.entries)]
		group.Go(func() {
			w.record.line("sent    %s to %s", q.id, e.name)
			a := send(e.frontend, q)
			w.record.line("answer  %s: %v, %d bytes", q.id, a, len(a.body))
			mutex.Lock()
			all = append(all, a)
			mutex.Unlock()
		})
		time.Sleep(interval)
	}
	group.Wait()
	return all
}

// playPieces names new weights. With trouble two of their pieces have the same bytes. It returns whether
// no token was made with a piece that isn't the version's.
func playPieces(w *world, trouble bool) (bool, error) {
	const (
		before   = 3 * time.Second
		after    = 20 * time.Second
		original = 10
		double   = 40
	)
	engines, err := w.addEngines(weights{piece: func(version, n int) []byte {
		if trouble && version == 2 && n == double {
			n = original
		}
		return distinctPiece(version, n)
	}})
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	time.AfterFunc(before, func() {
		w.store.put("op/version/"+modelName, map[string]any{"Model": modelName, "Version": 2})
		w.record.say("ack of version 2 of the weights; its pieces %d and %d are equal: %t", original, double, trouble)
	})
	served := 0
	for _, a := range w.drafts(100*time.Millisecond, time.Now().Add(before+after)) {
		if a.status == 200 && a.err == nil {
			served++
		}
	}
	held := true
	for _, e := range engines {
		e.mutex.Lock()
		w.record.say("%s: holds version %d; events made by version %v, of them with wrong pieces %v", e.id, e.version, e.tokens, e.wrongTokens)
		held = held && len(e.wrongTokens) == 0
		e.mutex.Unlock()
	}
	w.record.say("%d streams were served whole", served)
	if served == 0 {
		return false, errNothingServed
	}
	return held, nil
}
