// Package trial runs fault injection tests. A test names the steps of the
// operation under test and the faults that can occur at each; Run executes the
// test body once for each combination, in virtual time.
//
// # Scripts
//
// The fakes of a test call Script.NextFault when they reach a step and act out
// the fault that it returns. Each fault is injected the given number of times.
package trial

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// Fault is a kind of failure that a test injects.
type Fault string

// The faults that several packages use. None means that nothing goes wrong.
const (
	None      Fault = ""
	Kill      Fault = "kill"
	Pause     Fault = "pause"
	Cut       Fault = "cut"
	Silence   Fault = "silence"
	Refuse    Fault = "refuse"
	Corrupt   Fault = "corrupt"
	Stale     Fault = "stale"
	Delay     Fault = "late"
	Duplicate Fault = "doubled"
	Crash     Fault = "crash"
)

// Step names a point at which a fault can be injected.
type Step string

// Injection is a fault at a step.
type Injection struct {
	Step  Step
	Fault Fault
	// Count is how often the fault is injected. Zero means once.
	Count int
}

// Case lists the faults of one run of the test body. An empty case injects none.
type Case []Injection

// String returns the name of the subtest.
func (c Case) String() string {
	if len(c) == 0 {
		return "none"
	}
	names := make([]string, len(c))
	for i, k := range c {
		names[i] = fmt.Sprintf("%s-at-%s", k.Fault, k.Step)
	}
	return strings.Join(names, "+")
}

// Singles returns a case for each fault at each step.
func Singles(steps []Step, faults []Fault) []Case {
	var all []Case
	for _, s := range steps {
		for _, f := range faults {
			all = append(all, Case{{Step: s, Fault: f}})
		}
	}
	return all
}

// Pairs returns a case for each two injections at different steps.
func Pairs(steps []Step, faults []Fault) []Case {
	singles := Singles(steps, faults)
	var all []Case
	for i, a := range singles {
		for _, b := range singles[i+1:] {
			if a[0].Step != b[0].Step {
				all = append(all, Case{a[0], b[0]})
			}
		}
	}
	return all
}

// Run runs the body once for each case, each as a subtest in a testing/synctest
// bubble.
func Run(t *testing.T, cases []Case, body func(t *testing.T, s *Script)) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { body(t, NewScript(c)) })
		})
	}
}

// RunParallel is Run with the cases in parallel, after the test function has returned. The body must
// share nothing between them.
func RunParallel(t *testing.T, cases []Case, body func(t *testing.T, s *Script)) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { body(t, NewScript(c)) })
		})
	}
}

// Script holds the faults that are still to be injected in one run. It is safe
// for concurrent use.
type Script struct {
	mutex     sync.Mutex
	remaining map[Step][]Injection
	// injected lists the faults that NextFault returned, in order.
	injected []Injection
}

// NewScript returns the script of a case.
func NewScript(c Case) *Script {
	s := &Script{remaining: make(map[Step][]Injection)}
	for _, k := range c {
		k.Count = max(k.Count, 1)
		s.remaining[k.Step] = append(s.remaining[k.Step], k)
	}
	return s
}

// NextFault returns the fault to inject now at the step, or None, and records
// it.
func (s *Script) NextFault(step Step) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pending := s.remaining[step]
	if len(pending) == 0 {
		return None
	}
	k := pending[0]
	s.injected = append(s.injected, Injection{Step: step, Fault: k.Fault, Count: 1})
	pending[0].Count--
	if pending[0].Count == 0 {
		s.remaining[step] = pending[1:]
	}
	return k.Fault
}

// Remaining returns the number of faults that have not been injected yet.
func (s *Script) Remaining() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, pending := range s.remaining {
		for _, k := range pending {
			count += k.Count
		}
	}
	return count
}

// Injected returns the faults that were injected. A test whose fault was never
// injected proves nothing and should fail.
func (s *Script) Injected() []Injection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Injection(nil), s.injected...)
}
