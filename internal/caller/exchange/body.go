package exchange

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// firstBodyBytes is the size of the first buffer of a body. A longer one gets more as it
	// arrives, since its caller may never send it.
	firstBodyBytes = 64 << 10
	// firstChunkBytes is that of a body whose length is not known.
	firstChunkBytes = 4 << 10
	// memoryRetryAfter is the Retry-After of a request that there was no memory for.
	memoryRetryAfter = 200 * clock.Millisecond
)

// BodyLimits bound the body of a request; 0 means no limit.
type BodyLimits struct {
	Bytes int64
	Time  time.Duration // from the start of reading to the last byte
	// Memory is what the body may use; nil for no limit.
	Memory Memory
}

// Memory is a limited amount of memory.
type Memory interface {
	// Room reports whether n bytes could be taken now.
	Room(n int64) bool
	// Take is called before n more bytes are used; it returns false if there are none.
	Take(n int64) bool
}

// ReadBody reads the body of r within the limits l. The failure, if any, is the response
// to the caller.
func ReadBody(w http.ResponseWriter, r *http.Request, l BodyLimits) ([]byte, *Failure) {
	body := r.Body
	if l.Bytes > 0 {
		if r.ContentLength > l.Bytes {
			return nil, tooLarge(l.Bytes)
		}
		body = http.MaxBytesReader(serverWriter(w), body, l.Bytes)
	}
	take := func(int64) bool { return true }
	if l.Memory != nil && r.ContentLength != 0 {
		if !l.Memory.Room(r.ContentLength) {
			return nil, MemoryFull()
		}
		take = l.Memory.Take
	}
	rc := http.NewResponseController(w)
	if l.Time > 0 {
		// The error is ignored: a connection without deadlines can't have a slow caller.
		_ = rc.SetReadDeadline(time.Now().Add(l.Time))
	}
	data, n, err := readToEnd(body, r.ContentLength, take)
	if err != nil {
		// The read deadline stays set: without it the HTTP server would wait for the rest of
		// the body.
		return nil, bodyFailure(r, n, err)
	}
	if l.Time > 0 {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return data, nil
}

// serverWriter returns the HTTP server's own writer below w: MaxBytesReader tells only that one that the
// rest of the body is not to be read.
func serverWriter(w http.ResponseWriter) http.ResponseWriter {
	for {
		u, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return w
		}
		w = u.Unwrap()
	}
}

// readToEnd reads body to its end. size is its expected length in bytes; it is not
// positive if the length is unknown or the body is empty. n is the number of bytes that
// were received, also after an error. take is Memory.Take.
func readToEnd(body io.Reader, size int64, take func(n int64) bool) (data []byte, n int, err error) {
	switch {
	case size == 0:
		return nil, 0, nil
	case size < 0:
		data, _, err = bounded.ReadGrowing(body, firstChunkBytes, math.MaxInt64, take)
		return data, len(data), err
	}
	data, eof, err := bounded.ReadGrowing(body, firstBodyBytes, size, take)
	if eof && int64(len(data)) < size {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && !eof {
		// This read returns io.EOF; only after it does the HTTP server watch for the caller
		// closing the connection.
		_, _ = body.Read(make([]byte, 1))
	}
	return data, len(data), err
}

// MemoryFull returns the failure of a request that there is no memory for.
func MemoryFull() *Failure {
	return &Failure{
		Status: http.StatusServiceUnavailable, Code: "memoryFull", NotRun: true, RetryAfterMs: memoryRetryAfter,
		Message: "there is no memory for the request now",
	}
}

func tooLarge(limit int64) *Failure {
	return &Failure{
		Status: http.StatusRequestEntityTooLarge, Code: "bodyTooLarge", NotRun: true,
		Message: fmt.Sprintf("the request body exceeds %d bytes", limit),
	}
}

// bodyFailure returns the failure for err, which ended the reading of the body after n bytes.
func bodyFailure(r *http.Request, n int, err error) *Failure {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(large.Limit)
	}
	if errors.Is(err, bounded.ErrNoMemory) {
		return MemoryFull()
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &Failure{
			Status: http.StatusRequestTimeout, Code: "bodyTimeout", NotRun: true,
			Message: fmt.Sprintf("the request body was not received within the time limit: got %d bytes", n),
		}
	}
	return BadRequest("bodyCutShort", "", fmt.Sprintf("the request body was truncated: got %d of %d bytes", n, r.ContentLength))
}
