package hosts

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous score of a name for a key. The name with the highest score is
// responsible for the key.
func Score(key string, name Name) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(name))
	return d.Sum64()
}

// Rank returns the names ordered by descending rendezvous score for the key.
func Rank(key string, names []Name) []Name {
	scored := make([]scoredName, len(names))
	for i, n := range names {
		scored[i] = scoredName{name: n, score: Score(key, n)}
	}
	slices.SortFunc(scored, compareScores)
	ranked := make([]Name, len(scored))
	for i, s := range scored {
		ranked[i] = s.name
	}
	return ranked
}

type scoredName struct {
	name  Name
	score uint64
}

func compareScores(a, b scoredName) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}
