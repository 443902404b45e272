// Command tools evaluates a test run and checks that the tests named in a
// document were part of it.
//
//	go test -json work | tools verdict -red KNOWN-RED.txt -ran FILE
//	tools matrix -doc docs/FAULTS.md -ran FILE
//
// The exit code is 0 on success, 1 if a test failed or a document names a test
// that did not run, 2 for an invalid command line.
package main

import (
	"flag"
	"fmt"
	"os"

	"currantport.example/tools/internal/assess"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	if len(os.Args) < 2 {
		os.Exit(exitUsage)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	red := flags.String("red", "KNOWN-RED.txt", "file that lists the known failures")
	ran := flags.String("ran", "", "file that lists the tests that ran")
	doc := flags.String("doc", "docs/FAULTS.md", "document that names tests")
	if err := flags.Parse(os.Args[2:]); err != nil {
		os.Exit(exitUsage)
	}
	var err error
	switch os.Args[1] {
	case "verdict":
		err = assess.Evaluate(os.Stdin, os.Stdout, *red, *ran)
	case "matrix":
		err = assess.Match(os.Stdout, *doc, *ran)
	default:
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
