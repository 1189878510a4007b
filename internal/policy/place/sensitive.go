package place

import "github.com/damaskport/damaskport/internal/runtime/clock"

// sensitiveITLFactor is the largest ratio of a route's target for the inter-token
// latency (ITL) to the shortest one of the pool with which the route counts as
// latency-sensitive. Prefilling several short prompts in a row stalls streams for
// about the shortest ITL target at most. So streams with a target above 1.25 times
// that need no protection, while prompts of such routes would stall the others.
const sensitiveITLFactor = 1.25

// ITLBound returns the largest ITL target, in ms, with which a route of a pool counts
// as latency-sensitive. targets are the ITL targets of all routes of the pool, in ms;
// 0 stands for a route without a target. ITLBound returns 0 if no target exceeds the
// bound: then no requests need to be kept apart.
func ITLBound(targets []clock.Millis) clock.Millis {
	var shortest, longest clock.Millis
	for _, p := range targets {
		if p <= 0 {
			continue
		}
		longest = max(longest, p)
		if shortest == 0 || p < shortest {
			shortest = p
		}
	}
	if bound := clock.Millis(float64(shortest) * sensitiveITLFactor); longest > bound {
		return bound
	}
	return 0
}
