//go:build clockskew

package clock

import (
	"os"
	"strconv"
	"strings"
)

// SkewFile is the variable that names a file with the milliseconds by which the
// time of day of a program under test is off.
const SkewFile = "DAMASKPORT_CLOCK_SKEW"

// skew reads the file anew each time; without one that can be read the time of
// day is right.
func skew() Millis {
	data, err := os.ReadFile(os.Getenv(SkewFile))
	if err != nil {
		return 0
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0
	}
	return Millis(ms)
}
