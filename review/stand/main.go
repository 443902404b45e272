// Command stand plays the scripts of the review. It starts the project's programs as separate processes
// on loopback addresses and takes the part of the store, the runners, the origin and the consumers, as
// the pages describe them.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// maxTime is the time after which a case is given up.
const maxTime = 115 * time.Second

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errNothingServed = errors.New("no request was served, so that the case shows nothing")

// cases are the scripts by name. Each reports whether the rule held.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"keys":   playKeys,
	"pieces": playPieces,
	"polls":  playPolls,
	"stale":  playStale,
	"odd":    playOdd,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	w, err := newWorld(r)
	if err != nil {
		r.say("the case couldn't run: %v", err)
		return exitNotRun
	}
	defer w.stop()
	time.AfterFunc(maxTime, func() {
		r.say("the case couldn't run: it isn't over after %v", maxTime)
		w.stop()
		r.close()
		os.Exit(exitNotRun)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, trouble %t", os.Args[1], trouble)
	held, err := cases[os.Args[1]](w, trouble)
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return exitNotRun
	case !held:
		r.say("the rule was broken")
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}
