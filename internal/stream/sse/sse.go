// Package sse reads and writes streams of server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// eventBuffer is the size of the read buffer in bytes; longer lines are read in parts.
	eventBuffer = 16 << 10
	// maxEventBytes is the maximum size of one event: room for thousands of tokens.
	maxEventBytes = 256 << 10
)

// Scanner splits a stream into server-sent events.
type Scanner struct {
	r     *bufio.Reader
	event []byte
}

// NewScanner returns a Scanner that reads from r.
func NewScanner(r io.Reader) *Scanner {
	return &Scanner{r: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next event, including the empty line that ends it. It is valid
// until the next call. At the end of input the error is io.EOF, or
// io.ErrUnexpectedEOF together with the part of an incomplete event.
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

// Ready reports whether a complete event is buffered, so that Next does not block.
func (s *Scanner) Ready() bool {
	b, err := s.r.Peek(s.r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

func eventEnds(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n"))
}

// Data returns the data lines of an event, joined by newlines; nil if there are
// none. The result may alias event.
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

// ID returns the id field of an event, or "".
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}
