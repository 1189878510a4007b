package solo

import (
	"context"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const readyPoll = 5 * clock.Millisecond

// WaitReady returns when every entry is connected to every backend server, or
// with the error of ctx.
func (s *Solo) WaitReady(ctx context.Context) error {
	for _, e := range s.entries {
		for e.Ready() != nil || e.Connected() < len(s.sidecars) {
			if err := (clock.System{}).Sleep(ctx, readyPoll); err != nil {
				return err
			}
		}
	}
	return nil
}
