package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The weights of the deployment, as on the sheet of showgate.
const (
	modelName  = "m0"
	pieceCount = 64
	pieceBytes = 32768
	layerCount = 16
	warmTime   = 300 * time.Millisecond
	engineSlot = 16
)

// weights are the versions of the model. Piece returns the bytes of a piece.
type weights struct{ piece func(version, n int) []byte }

// distinctPiece returns a piece that no other one equals.
func distinctPiece(version, n int) []byte {
	random := rand.NewChaCha8([32]byte{byte(version), byte(n), 7})
	data := make([]byte, pieceBytes)
	_, _ = random.Read(data)
	return data
}

// origin is a stand-in for the origin of weights.
type origin struct {
	weights weights
	record  *record
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("Version"))
	if err != nil {
		http.Error(w, "Version", http.StatusBadRequest)
		return
	}
	switch {
	case r.URL.Path == "/api/manifest/"+modelName:
		var digests []string
		for n := range pieceCount {
			digests = append(digests, fmt.Sprintf("%x", sha256.Sum256(o.weights.piece(version, n))))
		}
		writeJSON(w, map[string]any{"Model": modelName, "Version": version, "ChunkBytes": pieceBytes, "layers": layerCount, "Digests": digests})
	case r.URL.Path == "/api/piece/"+modelName:
		n, err := strconv.Atoi(r.URL.Query().Get("Num"))
		if err != nil || n < 0 || n >= pieceCount {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(o.weights.piece(version, n))
	default:
		http.NotFound(w, r)
	}
}

// engine is a stand-in for a model runner that holds all layers.
type engine struct {
	id, service, address string
	weights              weights
	store                *store
	record               *record
	born                 int64

	mutex   sync.Mutex
	staged  map[int][]byte
	version int
	// wrong are the pieces with which the loaded version was taken although they were not those of the
	// version.
	wrong  []string
	seq    int
	busy   bool
	active int
	// tokens counts the events made by version, wrongTokens those made with wrong pieces.
	tokens, wrongTokens map[int]int
}

// addEngine starts a model runner that holds version 1, which is also staged.
func (w *world) addEngine(id, service, ip string, all weights) (*engine, error) {
	e := &engine{
		id: id, service: service, weights: all, store: w.store, record: w.record, born: time.Now().UnixMilli(), version: 1,
		staged: make(map[int][]byte), tokens: make(map[int]int), wrongTokens: make(map[int]int),
	}
	for n := range pieceCount {
		e.staged[n] = all.piece(1, n)
	}
	var err error
	if e.address, err = w.serve(ip, e); err != nil {
		return nil, err
	}
	e.register()
	return e, nil
}

func (e *engine) register() {
	e.mutex.Lock()
	version := e.version
	e.mutex.Unlock()
	d := e.held(version)
	d["Service"], d["Address"], d["Zone"], d["Version"] = e.service, e.address, domain, "v1"
	d["Slots"], d["State"], d["ColdLeftMs"], d["Phase"], d["Seq"], d["born"] = engineSlot, "ready", 0, "both", 1, e.born
	e.store.put("servers/"+e.id, d)
}

// held returns the fields that say what the runner holds.
func (e *engine) held(version int) map[string]any {
	return map[string]any{
		"Models": []any{map[string]any{"Name": modelName, "Version": version, "Adapters": []any{}}},
		"layers": map[string]any{"From": 0, "To": layerCount, "Version": version},
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/report":
		e.report(w)
	case r.URL.Path == "/api/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/stage-put/"):
		e.stagePut(w, r)
	case strings.HasPrefix(r.URL.Path, "/api/stage-get/"):
		e.stageGet(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mutex.Lock()
	d := e.held(e.version)
	d["Phase"], d["Busy"], d["Seq"], d["Queued"], d["Active"] = "both", e.busy, e.seq, 0, e.active
	d["KvUsed"], d["KvTotal"], d["Handles"], d["pace"], d["born"] = 0, 1180000*layerCount, 0, 1.0, e.born
	e.mutex.Unlock()
	writeJSON(w, d)
}

func (e *engine) stagePut(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("Num"))
	data, errBody := io.ReadAll(r.Body)
	if err != nil || errBody != nil || n < 0 || n >= pieceCount {
		http.Error(w, "Num", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	e.staged[n] = data
	e.mutex.Unlock()
	e.record.line("staged  piece %d at %s, sha256 %x", n, e.id, sha256.Sum256(data))
}

func (e *engine) stageGet(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("Num")
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if text == "" {
		held := []int{}
		for n := range pieceCount {
			if _, ok := e.staged[n]; ok {
				held = append(held, n)
			}
		}
		writeJSON(w, map[string]any{"held": held})
		return
	}
	n, err := strconv.Atoi(text)
	data, ok := e.staged[n]
	if err != nil || !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var d struct {
		Op, Model string
		Version   int
		Expected  *int
	}
	if err := json.NewDecoder(r.Body).Decode(&d); err != nil || d.Op != "start" || d.Model != modelName {
		http.Error(w, "no such order", http.StatusBadRequest)
		return
	}
	status := e.accept(d.Version, d.Expected)
	e.record.line("order   start version %d at %s: %d", d.Version, e.id, status)
	w.WriteHeader(status)
}

// accept takes the staged pieces as they are, which are not checked, and begins to load them.
func (e *engine) accept(version int, expected *int) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.busy || expected != nil && *expected != e.seq:
		return http.StatusConflict
	case e.version == version:
		return http.StatusOK
	}
	var wrong []string
	for n := range pieceCount {
		data, ok := e.staged[n]
		switch {
		case !ok:
			wrong = append(wrong, fmt.Sprintf("%d missing", n))
		case bytes.Equal(data, e.weights.piece(version, n)):
		case bytes.Equal(data, e.weights.piece(1, n)):
			wrong = append(wrong, fmt.Sprintf("%d of version 1", n))
		default:
			wrong = append(wrong, fmt.Sprintf("%d spoilt", n))
		}
	}
	e.busy = true
	e.seq++
	go e.load(version, wrong)
	return http.StatusAccepted
}

// load waits for the running requests, and loads the version.
func (e *engine) load(version int, wrong []string) {
	for {
		e.mutex.Lock()
		active := e.active
		e.mutex.Unlock()
		if active == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmTime)
	e.mutex.Lock()
	e.version, e.wrong, e.busy = version, wrong, false
	e.mutex.Unlock()
	e.record.say("%s serves version %d, taken with %d wrong pieces %v", e.id, version, len(wrong), wrong)
	e.register()
}

// stream runs a request: events with increasing ids, each of five tokens.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	const events = 8
	id := r.Header.Get("X-Currantport-Attempt-Id")
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Currantport-Attempt-Id", id)
	h.Set("X-Currantport-Instance-Id", e.id)
	if expected := r.Header.Get("X-Currantport-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mutex.Lock()
	version, busy := e.version, e.busy
	mismatch := r.Header.Get("X-Currantport-Expect-Version") != "" && r.Header.Get("X-Currantport-Expect-Version") != strconv.Itoa(version)
	refused := busy || mismatch || id == "" || e.active >= engineSlot
	if !refused {
		e.active++
	}
	wrong := len(e.wrong)
	e.mutex.Unlock()
	if refused {
		h.Set("X-Currantport-Not-Executed", "1")
		switch {
		case id == "":
			w.WriteHeader(http.StatusBadRequest)
		case mismatch:
			w.WriteHeader(http.StatusMisdirectedRequest)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	defer func() {
		e.mutex.Lock()
		e.active--
		e.mutex.Unlock()
	}()
	e.record.line("run     %s at %s with version %d (%d wrong pieces)", id, e.id, version, wrong)
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Currantport-Weight-Versions", strconv.Itoa(version))
	h.Set("X-Currantport-Response-Signature", fmt.Sprintf("%x", sha256.Sum256([]byte(e.id+id)))[:24])
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= events; n++ {
		select {
		case <-time.After(25 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		e.mutex.Lock()
		e.tokens[version]++
		if wrong > 0 {
			e.wrongTokens[version]++
		}
		e.mutex.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s event %d\n\n", n, id, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
