// Package exchange is the path of one request that all roles with callers
// share: its body is read, it is sent, the answer is handed over as it arrives,
// it is sent again where that is allowed, and it ends. It knows neither the
// codec of the callers nor how backend servers are reached.
package exchange

import "context"

// Steps are a role's parts of the path of one request. A is a send that was
// made, with or without an answer.
type Steps[A any] interface {
	// Send places the request and hands it to a backend server; a failure is
	// final.
	Send(ctx context.Context) (A, *Failure)
	// Pass hands the answer to the caller. The error tells why the caller does
	// not have it whole.
	Pass(ctx context.Context, a A) error
	// Again closes a, which err interrupted, and returns nil to send the
	// request once more, or how it ends.
	Again(ctx context.Context, a A, err error) *Failure
	// Fail gives the final answer of a request without one.
	Fail(f *Failure)
}

// Run answers a request: it is sent until the caller has an answer whole, or
// the request is given up, which the caller is told at once.
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
