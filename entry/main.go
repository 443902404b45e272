// Command entry serves clients: it returns the addresses of entries and forwards requests to
// upstreams. It also relays the platform's tables to other processes.
package main

import (
	"os"

	"currantport.example/core/shell"
	"currantport.example/entry/serve"
)

func main() {
	os.Exit(shell.Run(shell.Program[serve.Settings]{
		Name:            "entry",
		SettingsPath:    "entry.ini",
		Read:            serve.Read,
		Build:           serve.Build,
		ShutdownTimeout: serve.ShutdownTimeout,
	}, os.Args[1:]))
}
