// Package bounded reads from peers that may send without end.
package bounded

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// TooLargeError reports bytes beyond a bound.
type TooLargeError struct {
	What  string
	Bytes int64
}

// Error names what is too large, and the bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s exceeds %d bytes", e.What, e.Bytes)
}

// ReadAll reads r to its end. The error is a *TooLargeError beyond most bytes.
func ReadAll(r io.Reader, what string, most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, most+1))
	if err == nil && int64(len(data)) > most {
		return nil, &TooLargeError{What: what, Bytes: most}
	}
	return data, err
}

// Reader passes reads on while a bound holds. The zero value of its bound is none.
type Reader struct {
	r io.Reader
	// what is bounded, by most bytes, of which left remain.
	what       string
	most, left int64
	bounded    bool
}

// NewReader returns a Reader of r without a bound.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Bound fails reads with a *TooLargeError once most bytes were read from now on.
func (l *Reader) Bound(what string, most int64) {
	l.what, l.most, l.left, l.bounded = what, most, most, true
}

// Release ends the bound.
func (l *Reader) Release() { l.bounded = false }

// Read reads within the bound.
func (l *Reader) Read(p []byte) (int, error) {
	if !l.bounded {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errors.WithStack(&TooLargeError{What: l.what, Bytes: l.most})
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}
