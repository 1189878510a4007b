package logservice

import (
	"context"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// hedgeAfter is how long past its wait a read may take before it is sent
	// once more, on another connection.
	hedgeAfter = 1 * clock.Second
	// maxHedged bounds the reads of one page that run at a time.
	maxHedged = 8
)

// Hedged reads a log whose connections may have gone silent: a read without an
// answer is sent again, and the first success counts.
type Hedged struct {
	Client *Client
}

// Read reads one page; see Client.Read. It returns when one of its reads has
// succeeded or all have failed.
func (h Hedged) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		page Page
		err  error
	}
	results := make(chan result, maxHedged)
	read := func() {
		page, err := h.Client.Read(ctx, stream, from, limit, wait)
		results <- result{page, err}
	}
	again := time.NewTicker((wait + hedgeAfter).Duration())
	defer again.Stop()
	running := 1
	go read()
	for {
		select {
		case <-again.C:
			if running < maxHedged {
				running++
				go read()
			}
		case res := <-results:
			running--
			if res.err == nil || running == 0 {
				return res.page, res.err
			}
		}
	}
}
