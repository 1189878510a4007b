package logservice

import (
	"context"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// catchUpLimit is the maximum number of records per read.
const catchUpLimit = 1000

// PageReader reads one page of a stream; see Client.Read.
type PageReader interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (Page, error)
}

// CatchUp reads a stream from offset next() to its end. It passes each page to apply,
// after which next must return the offset that follows the page. The timeout bounds
// each read, not all of them.
func CatchUp(ctx context.Context, r PageReader, stream string, timeout clock.Millis, next func() int64, apply func(Page)) error {
	for {
		page, err := readWithin(ctx, r, stream, next(), timeout)
		if err != nil {
			return err
		}
		apply(page)
		if len(page.Records) == 0 || next() >= page.NextOffset {
			return nil
		}
	}
}

func readWithin(ctx context.Context, r PageReader, stream string, from int64, timeout clock.Millis) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return r.Read(ctx, stream, from, catchUpLimit, 0)
}
