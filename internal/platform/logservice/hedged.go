package logservice

import (
	"context"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// hedgeAfter is how much longer than its wait a read may take before another one
	// is sent on another connection.
	hedgeAfter = 1 * clock.Second
	// maxHedged bounds the number of concurrent reads of the same page.
	maxHedged = 8
)

// Hedged reads a log over connections that may be broken without an error: if a read
// is not answered in time, it sends another one and returns the first success.
type Hedged struct {
	Client *Client
}

// Read reads one page; see Client.Read. It returns when one of its reads has
// succeeded or all those in flight have failed.
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
	hedgeTicker := time.NewTicker((wait + hedgeAfter).Duration())
	defer hedgeTicker.Stop()
	inFlight := 1
	go read()
	for {
		select {
		case <-hedgeTicker.C:
			if inFlight < maxHedged {
				inFlight++
				go read()
			}
		case res := <-results:
			inFlight--
			if res.err == nil || inFlight == 0 {
				return res.page, res.err
			}
		}
	}
}
