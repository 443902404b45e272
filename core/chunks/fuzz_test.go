package chunks_test

import (
	"bytes"
	"testing"

	"currantport.example/core/chunks"
)

func FuzzDecodeManifest(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := chunks.DecodeManifest(data)
		if err != nil {
			return
		}
		encoded, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		n, err := chunks.DecodeManifest(encoded)
		if err != nil {
			t.Fatalf("the encoded manifest isn't valid: %v", err)
		}
		if reencoded, _ := n.Encode(); !bytes.Equal(reencoded, encoded) {
			t.Error("equal manifests give different bytes")
		}
		for _, p := range m.Pieces(chunks.Sum(data)) {
			if p.Range.Length <= 0 || p.Range.Length > m.ChunkBytes {
				t.Errorf("a piece has the length %d", p.Range.Length)
			}
		}
	})
}
