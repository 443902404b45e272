package swarm

import "math/bits"

// Bits is a set of pieces by index.
type Bits []uint64

// NewBits returns an empty set for the given number of pieces.
func NewBits(count int) Bits { return make(Bits, (count+63)/64) }

// Has reports whether the piece is in the set.
func (b Bits) Has(i int) bool { return i/64 < len(b) && b[i/64]&(1<<(i%64)) != 0 }

// Set adds a piece. It reports whether the set has changed.
func (b Bits) Set(i int) bool {
	if i < 0 || i/64 >= len(b) || b.Has(i) {
		return false
	}
	b[i/64] |= 1 << (i % 64)
	return true
}

// Clear removes a piece.
func (b Bits) Clear(i int) {
	if b.Has(i) {
		b[i/64] &^= 1 << (i % 64)
	}
}

// Count returns the number of pieces in the set.
func (b Bits) Count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

// Pack returns the set as bytes, lowest piece first.
func (b Bits) Pack() []byte {
	data := make([]byte, 8*len(b))
	for i, w := range b {
		for j := range 8 {
			data[8*i+j] = byte(w >> (8 * j))
		}
	}
	return data
}

// UnpackBits reads what Pack writes. Pieces from count on are dropped.
func UnpackBits(data []byte, count int) Bits {
	b := NewBits(count)
	for i := range min(count, 8*len(data)) {
		if data[i/8]&(1<<(i%8)) != 0 {
			b.Set(i)
		}
	}
	return b
}
