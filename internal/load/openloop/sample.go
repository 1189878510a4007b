// Package openloop sends a schedule of requests to a running system and
// checks every byte of the answers.
//
// Requests are sent at their times whether or not earlier ones have ended, and
// latencies count from the scheduled arrival.
package openloop

import "github.com/damaskport/damaskport/internal/runtime/clock"

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	// Complete is a whole and correct answer.
	Complete Outcome = "complete"
	// Refused is an error answer that says notRun.
	Refused Outcome = "refused"
	// Failed is any other explicit error, before or within the answer.
	Failed Outcome = "failed"
	// TimedOut is a request that was still open when the run ended.
	TimedOut Outcome = "timedOut"
	// Truncated is an answer that ended without an error before it was whole.
	Truncated Outcome = "truncated"
	// Duplicated is an answer that holds a token twice.
	Duplicated Outcome = "duplicated"
	// Wrong is an answer with foreign or missing tokens.
	Wrong Outcome = "wrong"
)

// Sample is one request and its answer. Times are in microseconds since the
// scheduled arrival.
type Sample struct {
	Index     int          `json:"index"`
	Class     string       `json:"class"`
	Account   string       `json:"account"`
	ArrivalMs clock.Millis `json:"arrivalMs"`
	// Wanted is the length of the whole answer in tokens.
	Wanted int `json:"wanted"`
	// LagUs is how late the request was sent.
	LagUs int64 `json:"lagUs"`
	// FirstTokenUs is 0 if there was no token.
	FirstTokenUs int64 `json:"firstTokenUs"`
	EndUs        int64 `json:"endUs"`
	Tokens       int   `json:"tokens"`
	// WindowTokens counts the tokens that came within the schedule's duration.
	WindowTokens int          `json:"windowTokens"`
	Status       int          `json:"status"`
	Code         string       `json:"code,omitempty"`
	NotRun       bool         `json:"notRun,omitempty"`
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	Outcome      Outcome      `json:"outcome"`
	// Detail tells what was wrong with a failed or incorrect answer.
	Detail string `json:"detail,omitempty"`
	// Retry is the second attempt of a refused request, if it was made.
	Retry *Sample `json:"retry,omitempty"`
	// GapsUs are the times between tokens.
	GapsUs []int64 `json:"-"`
}

// Sent returns the time at which the request was sent, since the run's start.
func (s Sample) Sent() clock.Millis {
	return s.ArrivalMs + clock.Millis(s.LagUs/1000)
}
