package quarantine

import (
	"slices"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// trialLifetime is the time after which a trial that was not reported to have ended no
// longer keeps others waiting.
const trialLifetime = 5 * clock.Second

// Examiner lets requests with suspected subjects run one at a time for each subject. It is not
// safe for concurrent use.
type Examiner struct {
	trials map[string]trial // by request
}

type trial struct {
	subjects []string
	endMs    clock.Millis
}

// NewExaminer returns an Examiner without trials.
func NewExaminer() *Examiner { return &Examiner{trials: map[string]trial{}} }

// Ask reports whether a request with these suspected subjects may run now. A request that
// runs asks again before trialLifetime is over.
func (x *Examiner) Ask(now clock.Millis, request string, subjects []string) bool {
	for id, t := range x.trials {
		switch {
		case now >= t.endMs:
			delete(x.trials, id)
		case id != request && slices.ContainsFunc(subjects, func(id string) bool { return slices.Contains(t.subjects, id) }):
			return false
		}
	}
	x.trials[request] = trial{subjects, now + trialLifetime}
	return true
}

// End records that the trial of a request has ended.
func (x *Examiner) End(request string) { delete(x.trials, request) }
