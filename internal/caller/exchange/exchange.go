// Package exchange handles a caller's request in the way that all roles with callers
// share: read the body, send the request to a backend server, pass the response on as it
// arrives, and retry where that is allowed. It depends neither on the protocol of the
// callers (see Codec) nor on how backend servers are reached (see Steps).
package exchange

import "context"

// Steps are the parts of handling one request that differ between roles. A is one
// attempt: a request that was sent to a backend server, with its response if there is one.
type Steps[A any] interface {
	// Send chooses a backend server and sends the request to it. A failure is final:
	// Run doesn't retry.
	Send(ctx context.Context) (A, *Failure)
	// Pass passes the response on to the caller. The error is why the response did not
	// reach the caller completely.
	Pass(ctx context.Context, a A) error
	// Again closes a, which failed with err, and decides on a retry: it returns nil to
	// send the request again, or the final failure.
	Again(ctx context.Context, a A, err error) *Failure
	// Fail reports the final failure to the caller.
	Fail(f *Failure)
}

// Run handles one request: it sends the request, and retries as s decides, until the
// caller has a complete response or the request has failed for good.
func Run[A any](ctx context.Context, s Steps[A]) {
	for {
		a, f := s.Send(ctx)
		if f == nil {
			err := s.Pass(ctx, a)
			if err == nil {
				return
			}
			f = s.Again(ctx, a, err)
		}
		if f != nil {
			s.Fail(f)
			return
		}
	}
}
