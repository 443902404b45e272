package parts_test

import (
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"currantport.example/core/config"
	"currantport.example/core/parts"
)

// TestSeedChangesAreAppliedAndInvalidFilesRefused changes the settings file without a
// signal.
func TestSeedChangesAreAppliedAndInvalidFilesRefused(t *testing.T) {
	// The goroutine of package signal must start outside of the synctest bubble.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	synctest.Test(t, changeSeeds)
}

func changeSeeds(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.ini")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("[mesh]\nseeds = 10.0.0.1:1\n[platform]\nstore = 10.0.0.9:1\n")
	var mutex sync.Mutex
	var active []netip.AddrPort
	s := parts.SeedWatcher{
		File: file, Log: zap.NewNop(),
		Read: func() ([]netip.AddrPort, error) {
			var seeds []netip.AddrPort
			var store netip.AddrPort
			err := config.Read(file, []config.Key{
				{Section: "mesh", Name: "seeds", Set: config.Addresses(&seeds)}, {Section: "platform", Name: "store", Set: config.Address(&store)},
			})
			return seeds, err
		},
		Set: func(seeds []netip.AddrPort) {
			mutex.Lock()
			defer mutex.Unlock()
			active = seeds
		},
	}
	activeSeeds := func() []netip.AddrPort {
		mutex.Lock()
		defer mutex.Unlock()
		return active
	}
	defer s.Watch()()
	write("[mesh]\nseeds = 10.0.0.2:1,10.0.0.3:1\n[platform]\nstore = 10.0.0.9:1\n")
	time.Sleep(1500 * time.Millisecond)
	synctest.Wait()
	if got := activeSeeds(); len(got) != 2 {
		t.Fatalf("active seeds: %v", got)
	}
	write("[mesh]\nseeds = nowhere\n")
	time.Sleep(1500 * time.Millisecond)
	synctest.Wait()
	if got := activeSeeds(); len(got) != 2 {
		t.Errorf("an invalid file was applied: %v", got)
	}
}
