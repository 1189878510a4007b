// Package openai speaks the chat completions protocol towards callers.
package openai

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/stream/sse"
)

// Types of errors.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeOverloaded     = "overloaded_error"
	typeServer         = "server_error"
)

// errorBody is a failure in the protocol's shape with two more fields: notRun
// and unknown.
type errorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	NotRun  bool   `json:"notRun,omitempty"`
	Unknown bool   `json:"unknown,omitempty"`
}

type envelope struct {
	Error errorBody `json:"error"`
}

func enclose(f *exchange.Failure) envelope {
	return envelope{errorBody{
		Message: f.Message, Type: errorType(f.Status), Param: f.Param, Code: f.Code, NotRun: f.NotRun, Unknown: f.Unknown,
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return typeAuthentication
	case status == http.StatusForbidden:
		return typePermission
	case status == http.StatusTooManyRequests:
		return typeOverloaded
	case status >= http.StatusInternalServerError:
		return typeServer
	}
	return typeInvalidRequest
}

// Codec answers callers with failures. It implements exchange.Codec.
type Codec struct{}

// Refuse answers with f.
func (Codec) Refuse(w http.ResponseWriter, f *exchange.Failure) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((f.RetryAfterMs+clock.Second-1)/clock.Second), 10))
	}
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(enclose(f))
}

// Break writes f as an event.
func (Codec) Break(w io.Writer, f *exchange.Failure) {
	data, err := json.Marshal(enclose(f))
	if err != nil {
		data = []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal"}}`)
	}
	_, _ = w.Write(sse.Append(nil, data))
}
