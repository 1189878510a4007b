package engine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/stream/sse"
)

// Event is a server-sent event of an engine's stream, with what was parsed from its data.
type Event struct {
	Data []byte // contents of its data field; valid until the next call of Next
	// Tokens is the number of output tokens in the event: one for each choice with
	// content, reasoning or tool calls.
	Tokens int
	// Usage is the token count reported by the engine; nil on events without one.
	Usage *Usage
	// Finished is true if the event carries a finish reason.
	Finished bool
	// Done is true for the final "[DONE]" event.
	Done bool
}

// Usage is an engine's token count for one attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Reader parses the events of an engine's stream.
type Reader struct {
	events *sse.Scanner
}

// NewReader returns a Reader of the events in r. m bounds what it holds of them, as in sse.NewScanner.
func NewReader(r io.Reader, m sse.Memory) *Reader {
	return &Reader{events: sse.NewScanner(r, m)}
}

var doneData = []byte("[DONE]")

// Next returns the next event that has data. At the end of input the error is
// ErrTruncated, also after the "[DONE]" event: callers stop reading at that event.
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
			return parseEvent(data)
		}
	}
}

// Ready reports whether the next event has been received, so that Next won't block.
func (r *Reader) Ready() bool { return r.events.Ready() }

// chunk holds the parts of a chat completion chunk that the sidecar needs.
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

func parseEvent(data []byte) (Event, error) {
	if bytes.Equal(data, doneData) {
		return Event{Data: data, Done: true}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Event{}, errors.Wrap(err, "decoding an engine event")
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
