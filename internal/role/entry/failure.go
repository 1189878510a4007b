package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/caller/openai"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
)

// errWithdrawn is the cause with which requests of a withdrawn key end.
var errWithdrawn = errors.New("key withdrawn")

// unavailable is the answer when no backend server was reached.
func unavailable(message string) *openai.Error {
	return &openai.Error{
		Status: http.StatusServiceUnavailable, Type: openai.TypeServer, Code: "unavailable", NotRun: true,
		Message: message, RetryAfterMs: defaultRetryAfter,
	}
}

func internalError(err error) *openai.Error {
	return &openai.Error{Status: http.StatusInternalServerError, Type: openai.TypeServer, Code: "internal", NotRun: true, Message: err.Error()}
}

// lost is the answer when an attempt may have run without its answer arriving.
func lost(j *job, message string) *openai.Error {
	if j.request.Protected {
		return &openai.Error{
			Status: http.StatusGatewayTimeout, Type: openai.TypeServer, Code: dispatch.CodeUnknown, Unknown: true,
			Message: message + "; the request may have run",
		}
	}
	return &openai.Error{
		Status: http.StatusBadGateway, Type: openai.TypeServer, Code: "interrupted", Message: message, RetryAfterMs: defaultRetryAfter,
	}
}

// stopped is the answer to a request whose context has ended.
func stopped(ctx context.Context, j *job) *openai.Error {
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		e := unauthorized("invalidKey", "the key has been withdrawn")
		e.NotRun = j.attempts == 0
		return e
	}
	return lost(j, "the request was cancelled")
}

// refusalError turns a sidecar's refusal into an answer to the caller.
func refusalError(j *job, r dispatch.Refusal) *openai.Error {
	e := &openai.Error{Code: r.Code, Message: r.Message, NotRun: r.NotRun, Unknown: r.Unknown && j.request.Protected, RetryAfterMs: r.RetryAfterMs}
	switch r.Code {
	case dispatch.CodeFull, dispatch.CodeOfferLapsed:
		return overloaded(max(r.RetryAfterMs, defaultRetryAfter))
	case dispatch.CodePreempted:
		return unavailable("the request was stopped for a higher tier and no backend server took it up again")
	case dispatch.CodeKeyWithdrawn:
		return unauthorized("invalidKey", "the key has been withdrawn")
	case dispatch.CodeDuplicate, dispatch.CodeAlreadyDone:
		e.Status, e.Type = http.StatusConflict, openai.TypeInvalidRequest
	case dispatch.CodeUnknown:
		e.Status, e.Type = http.StatusGatewayTimeout, openai.TypeServer
	case dispatch.CodeBadRequest:
		e.Status, e.Type = http.StatusBadRequest, openai.TypeInvalidRequest
	default:
		e.Status, e.Type = http.StatusServiceUnavailable, openai.TypeServer
		e.RetryAfterMs = max(e.RetryAfterMs, defaultRetryAfter)
	}
	return e
}
