package recent_test

import (
	"testing"

	"pgregory.net/rapid"

	"currantport.example/core/recent"
)

// TestKeyIsKeptUntilManyOthersWerePut draws operations on a few keys.
func TestKeyIsKeptUntilManyOthersWerePut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 5).Draw(t, "size")
		m := recent.New[int, int](size)
		values, putSince := make(map[int]int), make(map[int]map[int]bool)
		for i := range rapid.IntRange(0, 60).Draw(t, "count") {
			k := rapid.IntRange(0, 12).Draw(t, "key")
			if rapid.Bool().Draw(t, "put") {
				m.Put(k, i)
				values[k], putSince[k] = i, make(map[int]bool)
				for other, since := range putSince {
					if other != k {
						since[k] = true
					}
				}
			} else {
				m.Delete(k)
				delete(values, k)
			}
			for key := range 13 {
				want, known := values[key]
				v, ok := m.Get(key)
				if ok && (!known || v != want) || !ok && known && len(putSince[key]) < size {
					t.Errorf("key %d: %d, %t, want %d, %t; %d others were put since", key, v, ok, want, known, len(putSince[key]))
				}
			}
			if m.Len() > 2*size {
				t.Errorf("%d keys of a map of size %d", m.Len(), size)
			}
		}
	})
}
