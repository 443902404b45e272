// Command stand runs a stand-in for an outside system, or drives a whole path
// of stand-ins and programs through a roll-out and checks the result.
package main

import (
	"os"

	"github.com/google/subcommands"

	"currantport.example/core/shell"
	"currantport.example/stand/internal/drive"
	"currantport.example/stand/internal/gauge"
	"currantport.example/stand/internal/plan"
	"currantport.example/stand/internal/scale"
	"currantport.example/stand/internal/soak"
)

func main() {
	os.Exit(shell.Run(shell.Program[settings]{
		Name:            "stand",
		SettingsPath:    "stand.ini",
		Read:            read,
		Build:           build,
		ShutdownTimeout: stopWithin,
		ExtraCommands:   []subcommands.Command{&drive.Command{}, gauge.NewCommand(), &plan.Command{}, scale.NewCommand(), &soak.Command{}},
	}, os.Args[1:]))
}
