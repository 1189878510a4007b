//go:build clockskew

package clock

import (
	"os"
	"strconv"
	"strings"
)

// SkewFile is the environment variable with the path of a file that holds the offset, in
// milliseconds, to add to the wall clock of a program under test.
const SkewFile = "DAMASKPORT_CLOCK_SKEW"

// skew returns the offset to add to the wall clock. It reads the file on each call, so that a
// test can change the offset of a running program. It returns zero if the file is missing
// or does not hold a number.
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
