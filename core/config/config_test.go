package config_test

import (
	"errors"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"currantport.example/core/config"
)

// sample holds the settings of a sample program.
type sample struct {
	Name   string
	Listen netip.AddrPort
	Store  url.URL
	Wait   time.Duration
	Size   config.Bytes
	Count  int
	Mode   string
}

func (s *sample) keys() []config.Key {
	return []config.Key{
		{Section: "host", Name: "name", Set: config.Text(&s.Name)},
		{Section: "host", Name: "listen", Set: config.Address(&s.Listen)},
		{Section: "host", Name: "store", Default: "http://127.0.0.1:1", Set: config.URL(&s.Store)},
		{Section: "limits", Name: "wait", Default: "1s", Set: config.Duration(&s.Wait, time.Second, time.Minute)},
		{Section: "limits", Name: "size", Default: "1MiB", Set: config.Size(&s.Size, config.KiB, config.GiB)},
		{Section: "limits", Name: "count", Default: "3", Set: config.Count(&s.Count, 1, 9)},
		{Section: "limits", Name: "mode", Default: "fast", Set: config.Choice(&s.Mode, "fast", "slow")},
	}
}

func read(t *testing.T, text string) (sample, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "sample.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var s sample
	err := config.Read(file, s.keys())
	return s, err
}

func TestRead(t *testing.T) {
	got, err := read(t, "[host]\nname = a\nlisten = 127.0.0.1:7000\n[limits]\nwait = 2s\nsize = 64KiB\n")
	if err != nil {
		t.Fatal(err)
	}
	want := sample{
		Name: "a", Listen: netip.MustParseAddrPort("127.0.0.1:7000"), Store: url.URL{Scheme: "http", Host: "127.0.0.1:1"},
		Wait: 2 * time.Second, Size: 64 * config.KiB, Count: 3, Mode: "fast",
	}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Error(diff)
	}
}

func TestReadReportsEveryError(t *testing.T) {
	const good = "[host]\nname = a\nlisten = 127.0.0.1:7000\n"
	cases := map[string]struct {
		text  string
		wants []string
	}{
		"missing keys":    {"[limits]\n", []string{`section="host" key="name" reason="must be set"`, `key="listen"`}},
		"unknown section": {good + "[links]\nrate = 1MiB\n", []string{`section="links"`, "unknown section"}},
		"unknown key":     {good + "[limits]\nwaits = 1s\n", []string{`section="limits" key="waits" reason="unknown key"`}},
		"no unit":         {good + "[limits]\nwait = 5\nsize = 10\n", []string{`key="wait"`, `key="size"`}},
		"out of bounds":   {good + "[limits]\nwait = 2m\nsize = 2GiB\ncount = 10\nmode = idle\n", []string{`key="wait"`, `key="size"`, `key="count"`, `key="mode"`}},
		"host name":       {"[host]\nname = a\nlisten = localhost:7000\nstore = http://store:1\n", []string{`key="listen"`, `key="store"`}},
		"set twice":       {good + "name = b\n", []string{`key="name" reason="is set twice"`}},
		"not settings":    {"[host\n", []string{"sample.ini"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := read(t, c.text)
			var invalid *config.SettingsError
			if !errors.As(err, &invalid) {
				t.Fatalf("error %v", err)
			}
			for _, w := range c.wants {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%v lacks %s", err, w)
				}
			}
		})
	}
}
