// Package openai implements the caller-facing side of the OpenAI chat completions
// protocol: requests, streamed and assembled responses, errors and the list of models.
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

// Values of the field "type" of an error.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeOverloaded     = "overloaded_error"
	typeServer         = "server_error"
)

// errorBody is an error object of the OpenAI protocol with two additional fields, notRun
// and unknown, which mean the same as those of exchange.Failure.
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

func newEnvelope(f *exchange.Failure) envelope {
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

// Codec writes failures as OpenAI errors. It implements exchange.Codec.
type Codec struct{}

// Refuse writes f as an error response, with a Retry-After header, rounded up to whole
// seconds, if f advises one.
func (Codec) Refuse(w http.ResponseWriter, f *exchange.Failure) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if f.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((f.RetryAfterMs+clock.Second-1)/clock.Second), 10))
	}
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(newEnvelope(f))
}

// Break writes f as a server-sent event, for a stream that has already begun.
func (Codec) Break(w io.Writer, f *exchange.Failure) {
	data, err := json.Marshal(newEnvelope(f))
	if err != nil {
		data = []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal"}}`)
	}
	_, _ = w.Write(sse.Append(nil, data))
}
