package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
)

// errWithdrawn is the cancellation cause of requests whose API key was withdrawn.
var errWithdrawn = errors.New("key withdrawn")

// unavailable returns the failure (503) of a request that no backend server has run.
func unavailable(message string) *exchange.Failure {
	return &exchange.Failure{
		Status: http.StatusServiceUnavailable, Code: "unavailable", NotRun: true,
		Message: message, RetryAfterMs: defaultRetryAfter,
	}
}

// internalError returns the failure (500) for an unexpected error of the entry
// itself.
func internalError(err error) *exchange.Failure {
	return &exchange.Failure{Status: http.StatusInternalServerError, Code: "internal", NotRun: true, Message: err.Error()}
}

// answerLost returns the failure of a request that may have run, but whose answer
// did not arrive or not completely: 504 with an unknown outcome if protected, else
// 502.
func answerLost(j *job, message string) *exchange.Failure {
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

// keyWithdrawn returns the failure (401) of a request whose API key was withdrawn
// while it was being served.
func keyWithdrawn(j *job) *exchange.Failure {
	e := unauthorized("invalidKey", "the API key has been withdrawn")
	e.NotRun = j.attempts == 0
	return e
}

// requestEnded returns the failure of a request whose context has ended, by the
// cause.
func requestEnded(ctx context.Context, j *job) *exchange.Failure {
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		return keyWithdrawn(j)
	}
	return answerLost(j, "the request was cancelled")
}

// refusalFailure converts a sidecar's refusal to the failure returned to the caller.
func refusalFailure(j *job, r dispatch.Refusal) *exchange.Failure {
	e := &exchange.Failure{Code: r.Code, Message: r.Message, NotRun: r.NotRun, Unknown: r.Unknown && j.request.Protected, RetryAfterMs: r.RetryAfterMs}
	switch r.Code {
	case dispatch.CodeFull, dispatch.CodeOfferLapsed:
		return overloaded(max(r.RetryAfterMs, defaultRetryAfter))
	case dispatch.CodePreempted:
		return unavailable("the request was preempted by a request of a higher tier, and no backend server was available to run it again")
	case dispatch.CodeKeyWithdrawn:
		return unauthorized("invalidKey", "the API key has been withdrawn")
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
