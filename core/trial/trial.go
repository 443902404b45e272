// Package trial drives tests of faults. A test names the steps of what it tests
// and the faults that may strike at each; the driver runs the body of the test
// once for each combination, in virtual time.
//
// # Scripts
//
// The fakes of a test call Reach when they come to a step and do what the
// script of the run says. A fault strikes the given number of times and is then
// spent.
package trial

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// Fault is what goes wrong.
type Fault string

// The faults of a trial. None means that nothing goes wrong.
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

// Step names a point at which a fault may strike.
type Step string

// Injection is a fault at a step.
type Injection struct {
	Step  Step
	Fault Fault
	// Count is how often the fault strikes. Zero means once.
	Count int
}

// Case is one run of a trial.
type Case []Injection

// String returns the name of the run.
func (c Case) String() string {
	if len(c) == 0 {
		return "none"
	}
	names := make([]string, len(c))
	for i, s := range c {
		names[i] = fmt.Sprintf("%s-at-%s", s.Fault, s.Step)
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

// Pairs returns a case for each two strikes at different steps.
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

// Run runs the body once for each case, each in a bubble of virtual time.
func Run(t *testing.T, cases []Case, body func(t *testing.T, s *Script)) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { body(t, NewScript(c)) })
		})
	}
}

// Script says which faults are still to strike. Goroutines share it.
type Script struct {
	mutex sync.Mutex
	left  map[Step][]Injection
	// struck lists the strikes that were reached, in order.
	struck []Injection
}

// NewScript returns the script of a case.
func NewScript(c Case) *Script {
	s := &Script{left: make(map[Step][]Injection)}
	for _, k := range c {
		k.Count = max(k.Count, 1)
		s.left[k.Step] = append(s.left[k.Step], k)
	}
	return s
}

// NextFault returns the fault that strikes now at the step.
func (s *Script) NextFault(step Step) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	waiting := s.left[step]
	if len(waiting) == 0 {
		return None
	}
	k := waiting[0]
	s.struck = append(s.struck, Injection{Step: step, Fault: k.Fault, Count: 1})
	waiting[0].Count--
	if waiting[0].Count == 0 {
		s.left[step] = waiting[1:]
	}
	return k.Fault
}

// Remaining returns the number of strikes that were not reached yet.
func (s *Script) Remaining() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left := 0
	for _, waiting := range s.left {
		for _, k := range waiting {
			left += k.Count
		}
	}
	return left
}

// Injected returns the strikes that were reached. A test whose fault was never
// reached proves nothing and should fail.
func (s *Script) Injected() []Injection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Injection(nil), s.struck...)
}
