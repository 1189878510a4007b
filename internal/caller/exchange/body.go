package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// BodyLimits bound the body of a request; 0 is no bound.
type BodyLimits struct {
	Bytes int64
	Time  time.Duration
}

// ReadBody reads the whole body of a request.
func ReadBody(w http.ResponseWriter, r *http.Request, l BodyLimits) ([]byte, *Failure) {
	body := r.Body
	if l.Bytes > 0 {
		if r.ContentLength > l.Bytes {
			return nil, tooLarge(l.Bytes)
		}
		body = http.MaxBytesReader(w, body, l.Bytes)
	}
	rc := http.NewResponseController(w)
	if l.Time > 0 {
		// A connection without deadlines has no slow callers to bound.
		_ = rc.SetReadDeadline(time.Now().Add(l.Time))
	}
	data, n, err := read(body, r.ContentLength)
	if err != nil {
		// The deadline stays: the server would wait for the rest of the body.
		return nil, bodyFailure(r, n, err)
	}
	if l.Time > 0 {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return data, nil
}

// read returns the bytes of body, or how many came before an error.
func read(body io.Reader, size int64) (data []byte, n int, err error) {
	if size <= 0 {
		data, err = io.ReadAll(body)
		return data, len(data), err
	}
	data = make([]byte, size)
	if n, err = io.ReadFull(body, data); err != nil {
		return nil, n, err
	}
	// The reader finds the end now, so that the server watches for the
	// caller's leaving.
	_, _ = body.Read(make([]byte, 1))
	return data, n, nil
}

func tooLarge(limit int64) *Failure {
	return &Failure{
		Status: http.StatusRequestEntityTooLarge, Code: "bodyTooLarge", NotRun: true,
		Message: fmt.Sprintf("the body exceeds %d bytes", limit),
	}
}

func bodyFailure(r *http.Request, n int, err error) *Failure {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(large.Limit)
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &Failure{
			Status: http.StatusRequestTimeout, Code: "bodyTimeout", NotRun: true,
			Message: fmt.Sprintf("the body was not received in time: %d bytes arrived", n),
		}
	}
	return BadRequest("bodyCutShort", "", fmt.Sprintf("the body was cut short: %d of %d bytes arrived", n, r.ContentLength))
}
