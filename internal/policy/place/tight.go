package place

import "github.com/damaskport/damaskport/internal/runtime/clock"

// tightPause is the factor on a pool's shortest pause up to which routes count
// as tight. Short prompts in a row stall streams for about the shortest pause, at
// most: routes that bear a quarter more are none that suffer, and their own
// prompts are what stalls the others.
const tightPause = 1.25

// TightPause returns the longest pause with which routes of a pool count as
// tight, of all pauses that its routes' streams bear; 0 when the routes are
// alike, or bear any.
func TightPause(pauses []clock.Millis) clock.Millis {
	var least, most clock.Millis
	for _, p := range pauses {
		if p <= 0 {
			continue
		}
		most = max(most, p)
		if least == 0 || p < least {
			least = p
		}
	}
	if bound := clock.Millis(float64(least) * tightPause); most > bound {
		return bound
	}
	return 0
}
