// Command agent runs beside an upstream. It fetches, verifies and shares weights, has the engine
// load them and admits requests to the engine.
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
		ShutdownTimeout: serve.ShutdownTimeout,
	}, os.Args[1:]))
}
