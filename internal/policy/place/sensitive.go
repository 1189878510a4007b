package place

import "github.com/damaskport/damaskport/internal/runtime/clock"

// sensitiveITLFactor is the factor on the shortest ITL target of a pool up to which
// routes count as latency-sensitive. Prefilling several short prompts in a row
// stalls streams for about the shortest ITL target at most, so routes with a
// target above 1.25 times that do not suffer; rather, their own prompts stall the
// others.
const sensitiveITLFactor = 1.25

// ITLBound returns the largest ITL target with which routes of a pool count as
// latency-sensitive. pauses are the ITL targets of all its routes; 0 is none. It
// returns 0 if no target exceeds that bound, so that the routes need not be kept
// apart.
func ITLBound(pauses []clock.Millis) clock.Millis {
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
	if bound := clock.Millis(float64(least) * sensitiveITLFactor); most > bound {
		return bound
	}
	return 0
}
