// Package sse reads and writes streams of server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// readBufferBytes is the size of the read buffer; longer lines are read in parts.
	readBufferBytes = 16 << 10
	// maxEventBytes is the maximum size of one event, enough for thousands of tokens.
	maxEventBytes = 256 << 10
)

// Scanner splits a stream into server-sent events. It is not safe for concurrent use.
type Scanner struct {
	r     *bufio.Reader
	event []byte
}

// NewScanner returns a Scanner that reads from r.
func NewScanner(r io.Reader) *Scanner {
	return &Scanner{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event, including the empty line that ends it. The returned
// bytes are valid until the next call. At the end of the stream the error is io.EOF. If
// the stream ends within an event, Next returns the bytes read of it together with
// io.ErrUnexpectedEOF.
func (s *Scanner) Next() ([]byte, error) {
	s.event = s.event[:0]
	for {
		line, err := s.r.ReadSlice('\n')
		s.event = append(s.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(s.event) <= maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errors.Errorf("server-sent event exceeds the limit of %d bytes", maxEventBytes)
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

// Ready reports whether the read buffer contains a complete event, so that Next returns
// it without waiting for the underlying reader.
func (s *Scanner) Ready() bool {
	b, err := s.r.Peek(s.r.Buffered())
	return err == nil && (bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n")))
}

// eventEnds reports whether the bytes end with the empty line that ends an event.
func eventEnds(event []byte) bool {
	return bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\n\r\n"))
}

// Data returns the values of the data lines of an event, joined by newlines; nil if it
// has none. The result may share memory with event.
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

// Append appends an event with one line of data to dst and returns the extended slice.
// data must not contain a line break.
func Append(dst, data []byte) []byte {
	dst = append(dst, "data: "...)
	dst = append(dst, data...)
	return append(dst, "\n\n"...)
}

// ID returns the value of the first id line of an event, or "" if it has none.
func ID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// Follows reports whether an event may come next in a stream of which lastID was the last id: its
// id is higher, or is another one if the ids are no numbers. A comment follows any event.
func Follows(lastID string, event []byte) bool {
	id := ID(event)
	if id == "" {
		return bytes.HasPrefix(event, []byte(":"))
	}
	last, err := strconv.ParseUint(lastID, 10, 64)
	if err != nil {
		return id != lastID
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && n > last
}
