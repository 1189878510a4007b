package exchange

import (
	"net/http"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Failure is an error response that the router itself, not a backend server, gives to a
// request.
type Failure struct {
	Status  int    // HTTP status
	Code    string // machine-readable, such as "overloaded"
	Message string // human-readable
	// Param is the name of the request parameter that is invalid, or "".
	Param string
	// NotRun is true if no backend server has executed the request or will, so that the
	// caller may safely retry.
	NotRun bool
	// Unknown is true if the request is protected (must run at most once) and may or may
	// not have run.
	Unknown bool
	// RetryAfterMs is how long the caller should wait before a retry; 0 gives no advice.
	RetryAfterMs clock.Millis
}

// Error returns code and message.
func (f *Failure) Error() string { return f.Code + ": " + f.Message }

// WithRetryAfter returns f with another RetryAfterMs.
func (f *Failure) WithRetryAfter(ms clock.Millis) *Failure {
	out := *f
	out.RetryAfterMs = ms
	return &out
}

// BadRequest returns a Failure with status 400 for a request that is invalid and was
// therefore not run.
func BadRequest(code, param, message string) *Failure {
	return &Failure{Status: http.StatusBadRequest, Code: code, Param: param, Message: message, NotRun: true}
}
