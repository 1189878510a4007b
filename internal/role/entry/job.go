package entry

import (
	"fmt"
	"net/http"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// job is a caller's accepted request while it is dispatched to backend servers, over
// one or more attempts. It is used by the goroutine that serves the request only.
type job struct {
	id           string
	account      directory.Account
	class        directory.Class
	keyID        string
	pool         directory.Pool
	request      dispatch.Request
	body         []byte
	prefixes     []uint64 // hashes of the prompt's prefixes, for cache affinity
	promptTokens int      // estimated prompt tokens
	// maxTokens is the maximum number of output tokens; 0 is unknown.
	maxTokens int
	arrived   clock.Millis
	// preemptible jobs can be resumed on another server after the tokens delivered
	// so far.
	preemptible bool
	delivered   int // output tokens received from all attempts
	attempts    int
	// failures counts the failed attempts; preempted ones are not included.
	failures int
	// resumed is set once an attempt was preempted or interrupted.
	resumed bool
	// tried contains the sidecars that failed or refused during the current dispatch
	// of the job; they are not chosen again.
	tried map[*peer]bool
}

// nextAttempt starts counting a new attempt and returns its id.
func (j *job) nextAttempt() string {
	j.attempts++
	return fmt.Sprintf("%s.%d", j.id, j.attempts)
}

// remaining returns the time left, in ms, until the latency target of the class is
// missed, negative if it has been missed. 0 means that there is no target; a
// remaining time of exactly 0 is returned as -1.
func (j *job) remaining(now clock.Millis) clock.Millis {
	target := j.latencyTarget()
	if target == 0 {
		return 0
	}
	left := j.arrived + target - now
	if left == 0 {
		left = -1
	}
	return left
}

// meetsTarget reports whether an answer that begins at now meets the latency target.
func (j *job) meetsTarget(now clock.Millis) bool {
	target := j.latencyTarget()
	return target == 0 || now-j.arrived <= target
}

// latencyTarget returns the latency target of the class in ms: the time to the
// first token, or else that to the whole answer; 0 is none.
func (j *job) latencyTarget() clock.Millis {
	if j.class.FirstTokenMs > 0 {
		return j.class.FirstTokenMs
	}
	return j.class.AnswerMs
}

// reservation returns the reservation to send to a sidecar for the attempt with the
// given id. entry is the incarnation of this entry.
func (j *job) reservation(id, entry string, now clock.Millis) dispatch.Reservation {
	return dispatch.Reservation{
		ID: id, Entry: entry, Class: j.class.Name, Account: j.account.Name, KeyID: j.keyID,
		Tier: j.class.Tier, Share: j.account.Share, FloorPercent: j.class.FloorPercent,
		RemainingMs: j.remaining(now), WholeAnswer: j.class.FirstTokenMs == 0, PromptTokens: j.promptTokens, MaxTokens: j.maxTokens,
		AgeMs: now - j.arrived, Resumed: j.resumed, Preemptible: j.preemptible,
	}
}

// answer is a sidecar's response to an attempt, with the body still to be read.
type answer struct {
	peer *peer
	res  *http.Response
}

// close closes the response and counts the slot as free again.
func (a *answer) close() {
	_ = a.res.Body.Close()
	a.peer.attemptEnded()
}

// end returns how the attempt ended according to the sidecar's trailer. It is ""
// until the body has been read to its end, and if the sidecar sent no trailer.
func (a *answer) end() dispatch.End {
	return dispatch.End(a.res.Trailer.Get(dispatch.TrailerEnd))
}
