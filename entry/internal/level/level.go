// Package level decides which requests to an engine pool go first if their routes differ in
// priority and there is too little room. It has no I/O and no clock.
//
// # Load
//
// An entry sees a small part of the demand and is assigned one or two engines, with some ten slots
// each. A slot becomes free every 50 to 100 ms, and a request may wait for a few hundred
// milliseconds. So the queue of an entry is short, and which request gets a slot depends as much on
// the other entries. A Queue orders the requests of one entry. A Meter determines how many slots are
// reserved for more urgent requests of all entries of the region while such requests find no room
// early. Shares exempts requests of groups that would be served too rarely from both.
package level
