package engine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/stream/sse"
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

// Reader reads the events of an engine.
type Reader struct {
	events *sse.Scanner
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{events: sse.NewScanner(r)}
}

var doneMark = []byte("[DONE]")

// Next returns the next event. At the end of input it returns ErrTruncated
// unless the end mark was the last event, and then io.EOF.
func (r *Reader) Next() (Event, error) {
	for {
		event, err := r.events.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if data := sse.Data(event); len(data) > 0 {
			return parse(data)
		}
	}
}

// Ready reports whether a further event can be had without waiting.
func (r *Reader) Ready() bool { return r.events.Ready() }

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
