package exchange

import (
	"net/http"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Failure is the system's own final answer to a request.
type Failure struct {
	Status  int // of HTTP
	Code    string
	Message string
	// Param is the part of the request that is at fault, or "".
	Param string
	// NotRun is true when no backend server ran the request or ever will.
	NotRun bool
	// Unknown is true when a protected request may have run.
	Unknown bool
	// RetryAfterMs tells the caller when to come back; 0 gives no advice.
	RetryAfterMs clock.Millis
}

// Error returns the code and the message.
func (f *Failure) Error() string { return f.Code + ": " + f.Message }

// BadRequest returns the failure of a request that cannot be understood.
func BadRequest(code, param, message string) *Failure {
	return &Failure{Status: http.StatusBadRequest, Code: code, Param: param, Message: message, NotRun: true}
}
