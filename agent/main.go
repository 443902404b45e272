// Command agent runs beside an upstream. It fetches, checks and hands on
// weights, gives orders to its engine and admits requests to it.
package main

import (
	"os"

	"currantport.example/agent/serve"
	"currantport.example/core/shell"
)

func main() {
	os.Exit(shell.Run(shell.Program[serve.Settings]{
		Name:            "agent",
		SettingsPath:    "agent.ini",
		Read:            serve.Read,
		Build:           serve.Build,
		ShutdownTimeout: serve.StopWithin,
	}, os.Args[1:]))
}
