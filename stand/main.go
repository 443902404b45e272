// Command stand runs a fake of an external system, such as the store or an engine.
// Its other commands lay out a demonstration of fakes and real programs, drive it
// through a roll-out, measure it and check the results.
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
		ShutdownTimeout: shutdownTimeoutOf,
		ExtraCommands:   []subcommands.Command{&drive.Command{}, gauge.NewCommand(), &plan.Command{}, scale.NewCommand(), &soak.Command{}, &soak.BusyCommand{}},
	}, os.Args[1:]))
}
