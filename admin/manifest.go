package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"currantport.example/core/chunks"
	"currantport.example/core/config"
	"currantport.example/core/shell"
)

const maxChunkBytes = 64 * config.MiB

// manifestCommand builds the manifest of a folder.
type manifestCommand struct {
	dir   string
	out   string
	chunk string
	// pack tells whether small files are packed together.
	pack bool
}

func (c *manifestCommand) Name() string     { return "manifest" }
func (c *manifestCommand) Synopsis() string { return "write the manifest of a folder of weights" }
func (c *manifestCommand) Usage() string {
	return "admin manifest -dir DIR -out FILE [-chunk SIZE] [-pack]\n  example: admin manifest -dir ./model -out model.json -chunk 4MiB\n"
}

func (c *manifestCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", "", "folder of the weights")
	f.StringVar(&c.out, "out", "", "file of the manifest")
	f.StringVar(&c.chunk, "chunk", "1MiB", "length of a chunk")
	f.BoolVar(&c.pack, "pack", false, "pack small files and write the packs to "+chunks.PackDir+" in the folder, to be published with it")
}

func (c *manifestCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var size config.Bytes
	if err := config.Size(&size, config.KiB, maxChunkBytes)(c.chunk); err != nil || c.dir == "" || c.out == "" {
		return shell.ExitUsage
	}
	m, err := chunks.Build(os.DirFS(c.dir), int64(size), c.packSink())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return shell.ExitFailure
	}
	encoded, err := m.Encode()
	if err == nil {
		err = os.WriteFile(c.out, encoded, 0o600)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return shell.ExitFailure
	}
	fmt.Printf("manifest=%s files=%d bytes=%d\n", chunks.Sum(encoded), len(m.Layout()), m.Bytes())
	return shell.ExitOK
}

// packSink returns the function that writes packs into the folder, or nil if
// small files aren't packed.
func (c *manifestCommand) packSink() chunks.PackSink {
	if !c.pack {
		return nil
	}
	return func(p chunks.Pack, data []byte) error {
		file := filepath.Join(c.dir, filepath.FromSlash(p.Path()))
		if err := os.MkdirAll(filepath.Dir(file), 0o750); err != nil {
			return err
		}
		return os.WriteFile(file, data, 0o600)
	}
}
