package loader_test

import (
	"context"
	"testing"
	"time"

	"currantport.example/core/chunks"
)

// TestPiecesOfAReplacedManifestAreStagedAgain replaces the manifest of a version, while most of the pieces
// that the former one names are staged. The fake engine fails the test if it is ordered to load one of them.
func TestPiecesOfAReplacedManifestAreStagedAgain(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		w.contents.Store(&contents{{9, 0}, {9, 1}, {9, 2}, {9, 3}})
		w.mutex.Lock()
		w.fetchTime[2] = 600 * time.Millisecond
		w.mutex.Unlock()
		w.release(2)
		w.crash()
		w.restartLoader()
		time.Sleep(100 * time.Millisecond)
		for i := range pieceCount - 1 {
			if err := w.cache.Add(chunks.Sum(w.pieceOf(2, i)), w.pieceOf(2, i)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(400 * time.Millisecond)
		w.contents.Store(nil)
		w.cache.DropManifest(w.Name(writer, 2))
		if _, err := w.Manifest(context.Background(), w.Name(writer, 2)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(versionTimeout)
		w.check(2, 2)
	})
}

// TestStatusReadBeforeAStandstillIsNotReported lets the agent stand still between the response of the engine
// to a poll and its handling.
func TestStatusReadBeforeAStandstillIsNotReported(t *testing.T) {
	play(t, 1, 0, func(w *world) {
		w.mutex.Lock()
		w.statusDelay = 5 * time.Second
		w.mutex.Unlock()
		time.Sleep(5*time.Second + 60*time.Millisecond)
		if r, ok := w.loader.Report(); ok {
			t.Errorf("a status of 5 s ago counts as current: %+v", r.Status)
		}
	})
}
