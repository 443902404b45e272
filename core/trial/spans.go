package trial

import "time"

// MostWithin returns the largest number of the times in any span of the given length. The times are in
// order.
func MostWithin(times []time.Time, span time.Duration) int {
	most, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
