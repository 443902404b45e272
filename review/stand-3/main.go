// Command stand3 plays the cases of the third review that are scripts: it starts the entries as
// separate processes and plays the store, the runners and the consumers for them. It uses only the
// standard library, and speaks what the pages of the users say.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scenario plays a case. With trouble unset it does the same without the disruption.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"budget":  playBudget,
	"starved": playStarved,
	"conns":   playConns,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER, from the project's root")
		os.Exit(2)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(s scenario, folder string) int {
	r, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	w, err := newWorld(r)
	if err != nil {
		r.add("the case couldn't run: %v", err)
		return 2
	}
	defer w.stop()
	broken, err := s(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		return 2
	case broken:
		r.add("result: the rule was broken")
		return 1
	}
	r.add("result: the rule held")
	return 0
}
