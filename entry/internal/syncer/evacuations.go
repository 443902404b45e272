package syncer

import (
	"github.com/uber-go/tally/v4"

	"currantport.example/core/hosts"
)

// Evacuations are the gauges of evacuated failure domains: evacuated_domains counts them, and
// evacuated_running holds the requests of this entry in progress in each. It isn't safe for concurrent
// use.
type Evacuations struct {
	scope    tally.Scope
	reported map[hosts.Domain]int
}

// NewEvacuations returns the gauges of a scope.
func NewEvacuations(s tally.Scope) *Evacuations { return &Evacuations{scope: s} }

// Report sets the gauges to the requests in progress in each evacuated domain. A domain whose
// evacuation has ended has none.
func (e *Evacuations) Report(running map[hosts.Domain]int) {
	if len(running)+len(e.reported) == 0 {
		return
	}
	for d := range e.reported {
		if _, ok := running[d]; !ok {
			e.gauge(d).Update(0)
		}
	}
	for d, n := range running {
		e.gauge(d).Update(float64(n))
	}
	e.scope.Gauge("evacuated_domains").Update(float64(len(running)))
	e.reported = running
}

func (e *Evacuations) gauge(d hosts.Domain) tally.Gauge {
	return e.scope.Tagged(map[string]string{"domain": string(d)}).Gauge("evacuated_running")
}
