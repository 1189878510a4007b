// Package sse splits and writes streams of server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// eventBuffer holds the lines of one read; longer lines are joined.
	eventBuffer = 16 << 10
	// maxEventBytes bounds one event: thousands of tokens.
	maxEventBytes = 256 << 10
)

// Scanner splits a stream of server-sent events.
type Scanner struct {
	r     *bufio.Reader
	event []byte
}

// NewScanner returns a Scanner of r.
func NewScanner(r io.Reader) *Scanner {
	return &Scanner{r: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next event with the empty line that ends it, valid until
// the next call. At the end of input the error is io.EOF, or
// io.ErrUnexpectedEOF together with what came of an event.
func (s *Scanner) Next() ([]byte, error) {
	s.event = s.event[:0]
	for {
		line, err := s.r.ReadSlice('\n')
		s.event = append(s.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(s.event) <= maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errors.Errorf("an event exceeds %d bytes", maxEventBytes)
		case err == io.EOF && len(s.event) > 0:
			return s.event, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if eventEnds(s.event) {
			return s.event, nil
		}
	}
}

// Ready reports whether a further whole event can be had without waiting.
func (s *Scanner) Ready() bool {
	b, err := s.r.Peek(s.r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

func eventEnds(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n"))
}

// Data returns the data of an event, its lines joined; nil without any. It
// may alias the event.
func Data(event []byte) []byte {
	var data []byte
	first := true
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		rest = bytes.TrimPrefix(bytes.TrimRight(rest, "\r\n"), []byte(" "))
		if first {
			data, first = rest[:len(rest):len(rest)], false
			continue
		}
		data = append(append(data, '\n'), rest...)
	}
	return data
}

// Append appends an event with one line of data to dst.
func Append(dst, data []byte) []byte {
	dst = append(dst, "data: "...)
	dst = append(dst, data...)
	return append(dst, "\n\n"...)
}

// ID returns the id that an event carries, or "".
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}
