// Command stand-2 plays the cases of the second review that can't be put as a day of the bench: the project's
// own programs as processes on loopback addresses, and stand-ins of the platform around them.
//
// Usage: stand-2 CASE PROGRAM FOLDER. FOLDER gets record.txt. TROUBLE=0 leaves the disruption out. The exit
// code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// outcome is the result of a case.
type outcome struct {
	broken bool
	text   string
}

var cases = map[string]func(f *fleet, trouble bool) (outcome, error){
	"directory": directoryCase,
	"memory":    memoryCase,
	"slow":      slowCase,
	"poison":    poisonCase,
	"restore":   restoreCase,
}

func main() { os.Exit(run()) }

// maxTime bounds a case, so that it ends by itself within the time that a script may take.
const maxTime = 115 * time.Second

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE PROGRAM FOLDER")
		return 2
	}
	record, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f := &fleet{program: os.Args[2], dir: dir, record: record}
	defer f.close()
	record.line("case %s, disruption %v", os.Args[1], trouble)
	type result struct {
		outcome outcome
		err     error
	}
	done := make(chan result, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		o, err := cases[os.Args[1]](f, trouble)
		done <- result{o, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			record.line("the case couldn't run: %v", r.err)
			fmt.Println("couldn't run:", r.err)
			return 2
		case r.outcome.broken:
			record.line("BROKEN: %s", r.outcome.text)
			fmt.Println("broken:", r.outcome.text)
			return 1
		}
		record.line("held: %s", r.outcome.text)
		fmt.Println("held:", r.outcome.text)
		return 0
	case <-signals:
		record.line("the case was stopped")
		return 2
	case <-time.After(maxTime):
		record.line("the case took too long")
		fmt.Println("couldn't run: the case took too long")
		return 2
	}
}
