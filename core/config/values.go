package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Bytes is a size in bytes.
type Bytes int64

// The units of sizes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

var errSize = errors.New("must be a size such as 64MiB")

// Text returns a Set function for a non-empty text.
func Text[T ~string](into *T) func(string) error {
	return func(text string) error {
		if text == "" {
			return errors.New("must not be empty")
		}
		*into = T(text)
		return nil
	}
}

// Choice returns a Set function for one of the given words.
func Choice[T ~string](into *T, words ...T) func(string) error {
	return func(text string) error {
		for _, w := range words {
			if T(text) == w {
				*into = w
				return nil
			}
		}
		return fmt.Errorf("must be one of %v", words)
	}
}

// Duration returns a Set function for a duration within the bounds.
func Duration(into *time.Duration, lower, upper time.Duration) func(string) error {
	return func(text string) error {
		d, err := time.ParseDuration(text)
		if err != nil {
			return errors.New("must be a duration such as 250ms")
		}
		if d < lower || d > upper {
			return fmt.Errorf("must be from %s to %s", lower, upper)
		}
		*into = d
		return nil
	}
}

// Size returns a Set function for a size within the bounds.
func Size(into *Bytes, lower, upper Bytes) func(string) error {
	return func(text string) error {
		b, err := parseBytes(text)
		if err != nil {
			return err
		}
		if b < lower || b > upper {
			return fmt.Errorf("must be from %s to %s", lower, upper)
		}
		*into = b
		return nil
	}
}

// Count returns a Set function for a whole number within the bounds.
func Count(into *int, lower, upper int) func(string) error {
	return func(text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < lower || n > upper {
			return fmt.Errorf("must be a whole number from %d to %d", lower, upper)
		}
		*into = n
		return nil
	}
}

// Address returns a Set function for an IP address with a port.
func Address(into *netip.AddrPort) func(string) error {
	return func(text string) error {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return errors.New("must be an IP address and a port such as 127.0.0.1:7000")
		}
		*into = a
		return nil
	}
}

// Addresses returns a Set function for a comma-separated list of IP addresses with
// ports. The word none stands for an empty list.
func Addresses(into *[]netip.AddrPort) func(string) error {
	return func(text string) error {
		*into = nil
		if text == "none" {
			return nil
		}
		for _, part := range strings.Split(text, ",") {
			var a netip.AddrPort
			if err := Address(&a)(strings.TrimSpace(part)); err != nil {
				return err
			}
			*into = append(*into, a)
		}
		return nil
	}
}

// Pairs returns a Set function for a comma-separated list of names with values, such as
// a:one,b:two.
func Pairs[K, V ~string](into *map[K]V) func(string) error {
	return func(text string) error {
		pairs := make(map[K]V)
		for _, part := range strings.Split(text, ",") {
			name, value, ok := strings.Cut(strings.TrimSpace(part), ":")
			if !ok || name == "" || value == "" {
				return errors.New("must be pairs such as a:one,b:two")
			}
			pairs[K(name)] = V(value)
		}
		*into = pairs
		return nil
	}
}

// Number returns a Set function for a number within the bounds.
func Number(into *float64, lower, upper float64) func(string) error {
	return func(text string) error {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || n < lower || n > upper || math.IsNaN(n) {
			return fmt.Errorf("must be a number from %g to %g", lower, upper)
		}
		*into = n
		return nil
	}
}

// URL returns a Set function for an HTTP URL whose host is an IP address.
func URL(into *url.URL) func(string) error {
	return func(text string) error {
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" {
			return errors.New("must be a URL such as http://127.0.0.1:7000")
		}
		if _, err := netip.ParseAddrPort(u.Host); err != nil {
			return errors.New("must name an IP address and a port")
		}
		*into = *u
		return nil
	}
}

// String returns the size in the largest unit that divides it.
func (b Bytes) String() string {
	switch {
	case b != 0 && b%GiB == 0:
		return strconv.FormatInt(int64(b/GiB), 10) + "GiB"
	case b != 0 && b%MiB == 0:
		return strconv.FormatInt(int64(b/MiB), 10) + "MiB"
	case b != 0 && b%KiB == 0:
		return strconv.FormatInt(int64(b/KiB), 10) + "KiB"
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

func parseBytes(text string) (Bytes, error) {
	units := []struct {
		suffix string
		size   Bytes
	}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > int64(1<<62)/int64(u.size) {
			return 0, errSize
		}
		return Bytes(n) * u.size, nil
	}
	return 0, errSize
}
