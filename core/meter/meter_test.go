package meter_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"currantport.example/core/meter"
)

func TestCallsAreCountedByTemplateAndClass(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	r := mux.NewRouter()
	r.Use(meter.HTTPMiddleware(scope))
	r.HandleFunc("/routes/{route}", func(w http.ResponseWriter, r *http.Request) {
		if mux.Vars(r)["route"] == "bad" {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = io.WriteString(w, "x")
	})
	for _, path := range []string{"/routes/a", "/routes/b", "/routes/bad"} {
		r.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
	}
	counts := make(map[string]int64)
	for name, c := range scope.Snapshot().Counters() {
		counts[name] = c.Value()
	}
	if counts["calls+class=2,path=/routes/{route}"] != 2 || counts["calls+class=4,path=/routes/{route}"] != 1 {
		t.Errorf("counts %v", counts)
	}
}

// TestSeriesAreReused checks that a counted call reuses the series of earlier calls. It
// makes two allocations, three with the race detector; a call that creates the series
// makes ten.
func TestSeriesAreReused(t *testing.T) {
	scope, _, stop := meter.New("sample")
	defer stop()
	plain, metered := mux.NewRouter(), mux.NewRouter()
	metered.Use(meter.HTTPMiddleware(scope))
	for _, r := range []*mux.Router{plain, metered} {
		r.HandleFunc("/routes/{route}", func(http.ResponseWriter, *http.Request) {})
	}
	w, call := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/routes/a", nil)
	without := testing.AllocsPerRun(100, func() { plain.ServeHTTP(w, call) })
	with := testing.AllocsPerRun(100, func() { metered.ServeHTTP(w, call) })
	if with > without+3 {
		t.Errorf("%.0f allocations with metrics, %.0f without", with, without)
	}
}

func TestMetricsAreWrittenAsText(t *testing.T) {
	_, handler, stop := meter.New("sample")
	defer stop()
	_, _, stopSecond := meter.New("sample")
	defer stopSecond()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if !strings.Contains(w.Body.String(), "# TYPE process_cpu_seconds_total counter") {
		t.Errorf("no counter in %d bytes", w.Body.Len())
	}
}
