package dispatch

import (
	"context"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Redial runs sessions one after the other until ctx ends. The pause between
// two doubles from first to last, and starts anew after a session that lasted
// longer than last. ended is called after each session with the pause to come.
func Redial(ctx context.Context, c clock.Clock, first, last clock.Millis, session func(ctx context.Context) error, ended func(err error, pause clock.Millis)) {
	pause := first
	for ctx.Err() == nil {
		start := c.Now()
		err := session(ctx)
		if c.Now()-start > last {
			pause = first
		}
		ended(err, pause)
		_ = c.Sleep(ctx, pause)
		pause = min(2*pause, last)
	}
}
