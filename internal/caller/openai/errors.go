// Package openai speaks the chat completions protocol towards callers.
package openai

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Error is an answer that is no success, in the protocol's shape with two
// more fields: notRun and unknown.
type Error struct {
	Status  int    `json:"-"`
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	// NotRun is true when no backend server ran the request or ever will.
	NotRun bool `json:"notRun,omitempty"`
	// Unknown is true when a protected request may have run.
	Unknown bool `json:"unknown,omitempty"`
	// RetryAfterMs tells the caller when to come back; 0 gives no advice.
	RetryAfterMs clock.Millis `json:"-"`
}

// Error returns the code and the message.
func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Types of errors.
const (
	TypeInvalidRequest = "invalid_request_error"
	TypeAuthentication = "authentication_error"
	TypePermission     = "permission_error"
	TypeOverloaded     = "overloaded_error"
	TypeServer         = "server_error"
)

type envelope struct {
	Error *Error `json:"error"`
}

// WriteError answers with e.
func WriteError(w http.ResponseWriter, e *Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((e.RetryAfterMs+clock.Second-1)/clock.Second), 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(envelope{e})
}

// EncodeError returns the JSON of e, for an error inside a stream.
func EncodeError(e *Error) []byte {
	data, err := json.Marshal(envelope{e})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal"}}`)
	}
	return data
}

// BadRequest returns an error for a request that cannot be understood.
func BadRequest(code, param, message string) *Error {
	return &Error{Status: http.StatusBadRequest, Type: TypeInvalidRequest, Code: code, Param: param, Message: message, NotRun: true}
}
