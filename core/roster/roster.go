// Package roster holds the latest list of hosts of the platform that a process knows.
//
// The relay replaces the list; all other parts of the process read it. Reads are
// lock-free and return an immutable snapshot. A [SelfWatcher] reports when the list
// marks the process's own host as leaving.
package roster

import (
	"sync/atomic"

	"currantport.example/core/hosts"
)

// Roster holds the active list of hosts. The zero value holds an empty list.
// Goroutines share it, and reads never block.
type Roster struct{ current atomic.Pointer[hosts.List] }

// New returns a roster with an empty list.
func New() *Roster { return &Roster{} }

// Now returns the active list.
func (r *Roster) Now() hosts.List {
	if l := r.current.Load(); l != nil {
		return *l
	}
	return hosts.List{}
}

// Set replaces the active list.
func (r *Roster) Set(list hosts.List) { r.current.Store(&list) }
