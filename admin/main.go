// Command admin is the operator's client: it checks tables before they are
// published, builds manifests, shows the state of processes, reads their audit
// trail, drains them and explains where they would send a request.
package main

import (
	"os"

	"github.com/google/subcommands"

	"currantport.example/core/shell"
)

func main() {
	os.Exit(shell.Run(shell.Program[struct{}]{
		Name:          "admin",
		ExtraCommands: []subcommands.Command{&checkCommand{}, &statusCommand{}, &auditCommand{}, &drainCommand{}, &manifestCommand{}, &explainCommand{}},
	}, os.Args[1:]))
}
