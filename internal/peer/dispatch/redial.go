package dispatch

import (
	"context"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// Redial runs session again and again until ctx ends, with exponential back-off: the
// pause after a session doubles from minPause up to maxPause, and returns to minPause
// after a session that took longer than maxPause. ended is called after each session with its
// error and the pause that follows.
func Redial(ctx context.Context, c clock.Clock, minPause, maxPause clock.Millis, session func(ctx context.Context) error, ended func(err error, pause clock.Millis)) {
	pause := minPause
	for ctx.Err() == nil {
		start := c.Now()
		err := session(ctx)
		if c.Now()-start > maxPause {
			pause = minPause
		}
		ended(err, pause)
		_ = c.Sleep(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}
