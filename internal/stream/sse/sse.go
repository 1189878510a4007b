// Package sse reads and writes streams of server-sent events.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
)

const (
	// readBufferBytes is the size of the read buffer; longer lines are read in parts.
	readBufferBytes = 16 << 10
	// firstEventBytes is the size of the first buffer of an event, and smallEventBytes that up to which an event
	// needs no Memory.
	firstEventBytes = 512
	smallEventBytes = 4 << 10
	// maxEventBytes is the maximum size of one event, enough for thousands of tokens.
	maxEventBytes = 256 << 10
)

// Memory bounds what is held of the events of a stream.
type Memory interface {
	// Take is called before n more bytes of the current event are held. After an error they are not.
	Take(n int64) error
	// Complete is called when the current event is complete.
	Complete()
	// Release is called when nothing is held any more.
	Release()
	// Err returns an error if what is held of the current event must be given up.
	Err() error
}

// Scanner splits a stream into server-sent events. It is not safe for concurrent use.
type Scanner struct {
	r      *bufio.Reader
	event  []byte
	memory Memory
}

// unlimited is a Memory without a bound.
type unlimited struct{}

func (unlimited) Take(int64) error { return nil }
func (unlimited) Complete()        {}
func (unlimited) Release()         {}
func (unlimited) Err() error       { return nil }

// NewScanner returns a Scanner that reads from r. m bounds what it holds of an event of more than 4 KB, and is nil
// for no bound; the caller releases it after the last event.
func NewScanner(r io.Reader, m Memory) *Scanner {
	if m == nil {
		m = unlimited{}
	}
	return &Scanner{r: bufio.NewReaderSize(r, readBufferBytes), memory: m}
}

// Next returns the next event, including the empty line that ends it. The returned
// bytes are valid until the next call. At the end of the stream the error is io.EOF. If
// the stream ends within an event, Next returns the bytes read of it together with
// io.ErrUnexpectedEOF. An event that is too large is a *bounded.TooLargeError; one that the
// Memory gives up is an error of its own.
func (s *Scanner) Next() ([]byte, error) {
	s.reset()
	for {
		line, err := s.r.ReadSlice('\n')
		if aerr := s.append(line); aerr != nil {
			return nil, aerr
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(s.event) > 0:
			return s.event, io.ErrUnexpectedEOF
		case err != nil:
			if merr := s.memory.Err(); merr != nil {
				return nil, merr
			}
			return nil, err
		}
		if eventEnds(s.event) {
			s.memory.Complete()
			return s.event, nil
		}
	}
}

// reset drops the event before, and its buffer if that is large.
func (s *Scanner) reset() {
	s.event = s.event[:0]
	if cap(s.event) > smallEventBytes {
		s.event = nil
		s.memory.Release()
	}
}

// append adds a part of the event.
func (s *Scanner) append(part []byte) error {
	need := len(s.event) + len(part)
	if need > maxEventBytes {
		return &bounded.TooLargeError{What: "server-sent event", Bytes: maxEventBytes}
	}
	if need > cap(s.event) {
		if err := s.grow(need); err != nil {
			return err
		}
	}
	s.event = append(s.event, part...)
	return nil
}

// grow doubles the buffer until it has room for need bytes.
func (s *Scanner) grow(need int) error {
	size := max(cap(s.event), firstEventBytes)
	for size < need {
		size *= 2
	}
	if more := held(size) - held(cap(s.event)); more > 0 {
		if err := s.memory.Take(more); err != nil {
			return err
		}
	}
	s.event = append(make([]byte, 0, size), s.event...)
	return nil
}

// held returns what a buffer takes of the Memory.
func held(size int) int64 {
	if size <= smallEventBytes {
		return 0
	}
	return int64(size)
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
