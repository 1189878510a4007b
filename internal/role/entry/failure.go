package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
)

// errWithdrawn is the cause with which requests of a withdrawn key end.
var errWithdrawn = errors.New("key withdrawn")

// unavailable is the answer when no backend server was reached.
func unavailable(message string) *exchange.Failure {
	return &exchange.Failure{
		Status: http.StatusServiceUnavailable, Code: "unavailable", NotRun: true,
		Message: message, RetryAfterMs: defaultRetryAfter,
	}
}

func internalError(err error) *exchange.Failure {
	return &exchange.Failure{Status: http.StatusInternalServerError, Code: "internal", NotRun: true, Message: err.Error()}
}

// lost is the answer when an attempt may have run without its answer arriving.
func lost(j *job, message string) *exchange.Failure {
	if j.request.Protected {
		return &exchange.Failure{
			Status: http.StatusGatewayTimeout, Code: dispatch.CodeUnknown, Unknown: true,
			Message: message + "; the request may have run",
		}
	}
	return &exchange.Failure{
		Status: http.StatusBadGateway, Code: "interrupted", Message: message, RetryAfterMs: defaultRetryAfter,
	}
}

// withdrawn is the answer to a request whose key was withdrawn on its way.
func withdrawn(j *job) *exchange.Failure {
	e := unauthorized("invalidKey", "the key has been withdrawn")
	e.NotRun = j.attempts == 0
	return e
}

// stopped is the answer to a request whose context has ended.
func stopped(ctx context.Context, j *job) *exchange.Failure {
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		return withdrawn(j)
	}
	return lost(j, "the request was cancelled")
}

// refusalError turns a sidecar's refusal into an answer to the caller.
func refusalError(j *job, r dispatch.Refusal) *exchange.Failure {
	e := &exchange.Failure{Code: r.Code, Message: r.Message, NotRun: r.NotRun, Unknown: r.Unknown && j.request.Protected, RetryAfterMs: r.RetryAfterMs}
	switch r.Code {
	case dispatch.CodeFull, dispatch.CodeOfferLapsed:
		return overloaded(max(r.RetryAfterMs, defaultRetryAfter))
	case dispatch.CodePreempted:
		return unavailable("the request was stopped for a higher tier and no backend server took it up again")
	case dispatch.CodeKeyWithdrawn:
		return unauthorized("invalidKey", "the key has been withdrawn")
	case dispatch.CodeDuplicate, dispatch.CodeAlreadyDone:
		e.Status = http.StatusConflict
	case dispatch.CodeUnknown:
		e.Status = http.StatusGatewayTimeout
	case dispatch.CodeBadRequest:
		e.Status = http.StatusBadRequest
	default:
		e.Status = http.StatusServiceUnavailable
		e.RetryAfterMs = max(e.RetryAfterMs, defaultRetryAfter)
	}
	return e
}
