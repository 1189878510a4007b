package retry

import "github.com/damaskport/damaskport/internal/runtime/clock"

const (
	// maxProofTime bounds the wait for a proof whatever time the request has.
	maxProofTime = 2 * clock.Second
	// minProofTime is what a sound server needs to prove itself, with a late reply to one packet.
	minProofTime = 100 * clock.Millisecond
	// ProofGrace is how long after the request's timeout the proof may still arrive: an answer that
	// ended in time is not late because its proof is. Callers have longer than that to read it.
	ProofGrace = 150 * clock.Millisecond
)

// ProofTime returns how long to wait for the proof that an answer, which has ended, is whole. left is
// the time until the request's timeout, and another is set if a further attempt may be made.
//
// If there is time for the proof and for a further attempt, half of it is left to that attempt. Otherwise
// the proof is the last step: it has all the time that is left, and ProofGrace.
func ProofTime(left clock.Millis, another bool) clock.Millis {
	if another && left >= 2*minProofTime {
		return min(left/2, maxProofTime)
	}
	return min(max(left, 0)+ProofGrace, maxProofTime)
}
