package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// Event is the data of one server-sent event.
type Event struct {
	Data []byte // valid until the next call of Next
	// Tokens is the number of tokens of content that the event carries.
	Tokens int
	// Usage is the engine's own count, on the event that carries it.
	Usage *Usage
	// Finished is true on the event that carries a finish reason.
	Finished bool
	// Done is true on the end mark.
	Done bool
}

// Usage is an engine's count of tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Reader splits a stream of server-sent events.
type Reader struct {
	r    *bufio.Reader
	data []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, 8<<10)}
}

var (
	dataField = []byte("data:")
	doneMark  = []byte("[DONE]")
)

// Next returns the next event. At the end of input it returns ErrTruncated
// unless the end mark was the last event, and then io.EOF.
func (r *Reader) Next() (Event, error) {
	r.data = r.data[:0]
	for {
		line, err := r.r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return Event{}, endOf(err)
		}
		if err != nil {
			if line, err = r.long(line); err != nil {
				return Event{}, err
			}
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && len(r.data) > 0 {
			return parse(r.data)
		}
		if rest, ok := bytes.CutPrefix(line, dataField); ok {
			if len(r.data) > 0 {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
}

func endOf(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrTruncated
	}
	return err
}

// long reads the rest of a line that exceeds the buffer.
func (r *Reader) long(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) < maxEventBytes {
		part, err := r.r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, endOf(err)
		}
	}
	return nil, errors.New("event exceeds the size limit")
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content   *string           `json:"content"`
			Reasoning *string           `json:"reasoning_content"`
			ToolCalls []json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

func parse(data []byte) (Event, error) {
	if bytes.Equal(data, doneMark) {
		return Event{Data: data, Done: true}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, errors.Wrap(err, "engine event")
	}
	e := Event{Data: data, Usage: c.Usage}
	for _, ch := range c.Choices {
		if nonEmpty(ch.Delta.Content) || nonEmpty(ch.Delta.Reasoning) || len(ch.Delta.ToolCalls) > 0 {
			e.Tokens++
		}
		if ch.FinishReason != nil {
			e.Finished = true
		}
	}
	return e, nil
}

func nonEmpty(s *string) bool {
	return s != nil && *s != ""
}
