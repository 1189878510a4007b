package entry

import (
	"fmt"
	"net/http"

	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/directory"
)

// job is one caller's request on its way to a backend server. One goroutine
// owns it.
type job struct {
	id       string
	account  directory.Account
	class    directory.Class
	keyID    string
	pool     directory.Pool
	request  dispatch.Request
	body     []byte
	prefixes []uint64
	prompt   int
	// maxTokens bounds the answer; 0 is unknown.
	maxTokens int
	arrived   clock.Millis
	// preemptible jobs can go on elsewhere from the tokens delivered so far.
	preemptible bool
	delivered   int
	attempts    int
	// failures counts the attempts that failed, as opposed to preempted ones.
	failures int
	// resumed is set once an attempt was interrupted.
	resumed bool
	tried   map[*peer]bool
}

// nextAttempt returns the id of the job's next attempt.
func (j *job) nextAttempt() string {
	j.attempts++
	return fmt.Sprintf("%s.%d", j.id, j.attempts)
}

// remaining returns the time left to the class's target for the first sign of
// an answer; 0 is no target.
func (j *job) remaining(now clock.Millis) clock.Millis {
	target := j.target()
	if target == 0 {
		return 0
	}
	left := j.arrived + target - now
	if left == 0 {
		left = -1
	}
	return left
}

// onTime reports whether a first sign of an answer at now meets the target.
func (j *job) onTime(now clock.Millis) bool {
	target := j.target()
	return target == 0 || now-j.arrived <= target
}

// target returns the class's time to the first sign of an answer; 0 is none.
func (j *job) target() clock.Millis {
	if j.class.FirstTokenMs > 0 {
		return j.class.FirstTokenMs
	}
	return j.class.AnswerMs
}

// reservation returns what the job asks of a sidecar for the attempt id.
func (j *job) reservation(id, entry string, now clock.Millis) dispatch.Reservation {
	return dispatch.Reservation{
		ID: id, Entry: entry, Class: j.class.Name, Account: j.account.Name, KeyID: j.keyID,
		Tier: j.class.Tier, Share: j.account.Share, FloorPercent: j.class.FloorPercent,
		RemainingMs: j.remaining(now), WholeAnswer: j.class.FirstTokenMs == 0, PromptTokens: j.prompt, MaxTokens: j.maxTokens,
		AgeMs: now - j.arrived, Resumed: j.resumed, Preemptible: j.preemptible,
	}
}

// answer is a sidecar's answer to an attempt.
type answer struct {
	peer *peer
	res  *http.Response
}

// close releases the connection and the slot that the entry counts.
func (a *answer) close() {
	_ = a.res.Body.Close()
	a.peer.released()
}

// end returns how the sidecar says that the attempt ended. It is known only
// once the body has been read to its end.
func (a *answer) end() dispatch.End {
	return dispatch.End(a.res.Trailer.Get(dispatch.TrailerEnd))
}
