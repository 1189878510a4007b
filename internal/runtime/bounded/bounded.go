// Package bounded limits how many bytes are read from peers and servers, which may
// send an endless stream.
package bounded

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// TooLargeError reports input that exceeds its size limit.
type TooLargeError struct {
	// What describes the input, such as "the head of an answer".
	What string
	// Bytes is the limit that was exceeded.
	Bytes int64
}

// Error returns the description of the input and its limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s exceeds %d bytes", e.What, e.Bytes)
}

// ReadAll reads r to EOF. If r holds more than maxBytes, ReadAll returns a
// *TooLargeError. input describes the input in that error.
func ReadAll(r io.Reader, input string, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err == nil && int64(len(data)) > maxBytes {
		return nil, &TooLargeError{What: input, Bytes: maxBytes}
	}
	return data, err
}

// ErrNoMemory reports that there was no memory for input.
var ErrNoMemory = errors.New("no memory for the input")

// ReadGrowing reads r to EOF, or until it has read most bytes; eof is set in the first case. Its buffer
// has first bytes and doubles as the input arrives. Before n more bytes are used, it calls take, which
// returns false if there is no memory; ReadGrowing then returns ErrNoMemory. It returns what it has read
// also with an error. take may be nil.
func ReadGrowing(r io.Reader, first, most int64, take func(n int64) bool) (data []byte, eof bool, err error) {
	for space := min(first, most); err == nil && int64(len(data)) < most; space = min(2*space, most) {
		if take != nil && !take(space-int64(len(data))) {
			return data, false, ErrNoMemory
		}
		data = append(make([]byte, 0, space), data...)
		for len(data) < int(space) && err == nil {
			var n int
			n, err = r.Read(data[len(data):space])
			data = data[:len(data)+n]
		}
	}
	if err == io.EOF {
		return data, true, nil
	}
	return data, false, err
}

// Reader reads from an underlying reader and can limit the number of bytes read from it.
// It has no limit until Bound is called. It is not safe for concurrent use.
type Reader struct {
	r io.Reader
	// Description of the input, its limit in bytes and the part of the limit not yet
	// read; they apply while limited is set.
	input               string
	maxBytes, remaining int64
	limited             bool
}

// NewReader returns a Reader that reads from r, without a limit.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Bound sets a limit of maxBytes, counted from this call: once they have been read, Read
// fails with a *TooLargeError. input describes the input in that error.
func (l *Reader) Bound(input string, maxBytes int64) {
	l.input, l.maxBytes, l.remaining, l.limited = input, maxBytes, maxBytes, true
}

// Release removes the limit.
func (l *Reader) Release() { l.limited = false }

// Read implements io.Reader. It never returns more bytes than the limit leaves.
func (l *Reader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errors.WithStack(&TooLargeError{What: l.input, Bytes: l.maxBytes})
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
