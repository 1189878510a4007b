package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// BodyLimits bound the body of a request; 0 means no limit.
type BodyLimits struct {
	Bytes int64
	Time  time.Duration // from the start of reading to the last byte
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
	rc := http.NewResponseController(w)
	if l.Time > 0 {
		// The error is ignored: a connection without deadlines can't have a slow caller.
		_ = rc.SetReadDeadline(time.Now().Add(l.Time))
	}
	data, n, err := readToEnd(body, r.ContentLength)
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
// were received, also after an error.
func readToEnd(body io.Reader, size int64) (data []byte, n int, err error) {
	if size <= 0 {
		data, err = io.ReadAll(body)
		return data, len(data), err
	}
	data = make([]byte, size)
	if n, err = io.ReadFull(body, data); err != nil {
		return nil, n, err
	}
	// This read returns io.EOF; only after it does the HTTP server watch for the caller
	// closing the connection.
	_, _ = body.Read(make([]byte, 1))
	return data, n, nil
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
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &Failure{
			Status: http.StatusRequestTimeout, Code: "bodyTimeout", NotRun: true,
			Message: fmt.Sprintf("the request body was not received within the time limit: got %d bytes", n),
		}
	}
	return BadRequest("bodyCutShort", "", fmt.Sprintf("the request body was truncated: got %d of %d bytes", n, r.ContentLength))
}
