package conf

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Size is a number of bytes, written as in "64KiB".
type Size int64

// Rate is a number of bits per second, written as in "30Mbit/s".
type Rate int64

type unit struct {
	suffix string
	factor int64
}

// The longer suffix of two comes first.
var (
	sizeUnits = []unit{{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
	rateUnits = []unit{{"Gbit/s", 1e9}, {"Mbit/s", 1e6}, {"kbit/s", 1e3}, {"bit/s", 1}}
)

func (s Size) String() string { return format(int64(s), sizeUnits) }
func (r Rate) String() string { return format(int64(r), rateUnits) }

// ParseSize reads a size with one of the units MiB, KiB and B.
func ParseSize(s string) (Size, error) {
	n, err := parse(s, sizeUnits)
	return Size(n), err
}

// ParseRate reads a rate with one of the units Gbit/s, Mbit/s, kbit/s and bit/s.
func ParseRate(s string) (Rate, error) {
	n, err := parse(s, rateUnits)
	return Rate(n), err
}

func parse(s string, units []unit) (int64, error) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || int64(n) > math.MaxInt64/u.factor {
			return 0, fmt.Errorf("%q is not a whole number followed by %s", s, u.suffix)
		}
		return int64(n) * u.factor, nil
	}
	names := make([]string, len(units))
	for i, u := range units {
		names[i] = u.suffix
	}
	return 0, fmt.Errorf("%q has no valid unit, allowed are %s", s, strings.Join(names, ", "))
}

func format(n int64, units []unit) string {
	for _, u := range units {
		if n%u.factor == 0 && (n != 0 || u.factor == 1) {
			return strconv.FormatInt(n/u.factor, 10) + u.suffix
		}
	}
	return ""
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a duration, allowed units are h, m, s, ms, us, ns", s)
	}
	if d < 0 {
		return 0, fmt.Errorf("%q is negative", s)
	}
	return d, nil
}
