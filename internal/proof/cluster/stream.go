package cluster

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Answer is a chat completion as a caller reads it.
type Answer struct {
	Text   string
	Finish string
	// Done is true if a stream's end mark arrived.
	Done bool
	// Error is the code of an error event within the stream.
	Error string
	// CompletionTokens is the count given in the usage, or -1.
	CompletionTokens int
}

// Whole reports whether the answer claims to be complete.
func (a Answer) Whole() bool { return a.Done && a.Error == "" && a.Finish != "" }

type chatChoice struct {
	Delta        struct{ Content string }
	Message      struct{ Content string }
	FinishReason string `json:"finish_reason"`
}

type chatBody struct {
	Choices []chatChoice
	Usage   *struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	Error *struct{ Code string }
}

func (a *Answer) add(b chatBody) {
	for _, ch := range b.Choices {
		a.Text += ch.Delta.Content + ch.Message.Content
		if ch.FinishReason != "" {
			a.Finish = ch.FinishReason
		}
	}
	if b.Usage != nil {
		a.CompletionTokens = b.Usage.CompletionTokens
	}
	if b.Error != nil {
		a.Error = b.Error.Code
	}
}

// ParseStream reads the events of a streamed answer, as far as it arrived.
func ParseStream(data []byte) (Answer, error) {
	a := Answer{CompletionTokens: -1}
	events := strings.Split(string(data), "\n\n")
	for i, event := range events {
		payload, ok := strings.CutPrefix(event, "data: ")
		if !ok || i == len(events)-1 {
			continue // a comment, or an event cut short
		}
		if a.Done {
			return a, fmt.Errorf("event after the end mark: %q", event)
		}
		if payload == "[DONE]" {
			a.Done = true
			continue
		}
		var b chatBody
		if err := json.Unmarshal([]byte(payload), &b); err != nil {
			return a, fmt.Errorf("event %q: %v", event, err)
		}
		a.add(b)
	}
	return a, nil
}

// ParseWhole reads an answer that is one JSON object.
func ParseWhole(data []byte) (Answer, error) {
	a := Answer{CompletionTokens: -1}
	var b chatBody
	if err := json.Unmarshal(data, &b); err != nil {
		return a, err
	}
	a.add(b)
	a.Done = true
	return a, nil
}

// WantText returns the text of the first n tokens of the nonce.
func WantText(nonce string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, " %s-%d", nonce, i)
	}
	return b.String()
}
