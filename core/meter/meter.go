// Package meter builds the metrics of a process on tally and exports them in the
// Prometheus text format.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// New returns the root scope of a process and the handler that writes all metrics in
// the text format. The clean-up function stops reporting.
func New(program string) (tally.Scope, http.Handler, func()) {
	all := prometheus.NewRegistry()
	all.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r := promreporter.NewReporter(promreporter.Options{Registerer: all, Gatherer: all})
	s, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "currantport_" + program,
		CachedReporter: r,
		Separator:      promreporter.DefaultSeparator,
		// SanitizeOptions restricts names to the characters allowed in the text format.
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportInterval)
	return s, r.HTTPHandler(), func() { _ = closer.Close() }
}
