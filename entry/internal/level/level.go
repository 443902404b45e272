// Package level decides which requests to an engine pool go first if their routes differ in
// priority and there is too little room. It has no I/O and no clock.
//
// # Load
//
// An entry sees a small part of the demand and has one or two engines of its own, with some ten
// places each; a place becomes free every 50 to 100 ms, and a request may wait for a few hundred.
// So the queue of an entry is short, and whom a place goes to is decided as much by the other
// entries. A Queue orders the requests of one entry. A Meter keeps places free for more urgent
// requests of all entries of the region while such requests find no room at once. Shares exempts
// from both what would be served too rarely.
package level
