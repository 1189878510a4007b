package openai

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/caller/exchange"
)

const (
	// bytesPerToken is the usual length of a token of text.
	bytesPerToken = 4
)

// Request is what the router reads of a chat completion; the rest of the
// body passes through.
type Request struct {
	Model        string
	Stream       bool
	IncludeUsage bool
	// MaxTokens bounds the answer; 0 is unknown.
	MaxTokens int
	// PromptTokens is an estimate from the prompt's length.
	PromptTokens int
	// Prefixes are hashes over starts of the messages, the longest last.
	Prefixes []uint64
	Body     []byte
}

type body struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Decode reads the body of a chat completion. Errors are of type *exchange.Failure.
func Decode(data []byte) (Request, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return Request{}, decodeError(err)
	}
	if b.Model == "" {
		return Request{}, exchange.BadRequest("missingModel", "model", "model must be given")
	}
	messages := bytes.TrimSpace(b.Messages)
	if len(messages) < 3 || messages[0] != '[' {
		return Request{}, exchange.BadRequest("missingMessages", "messages", "messages must be a list that is not empty")
	}
	if b.MaxTokens < 0 || b.MaxCompletionTokens < 0 {
		return Request{}, exchange.BadRequest("badMaxTokens", "max_tokens", "the number of tokens must not be negative")
	}
	return Request{
		Model:        b.Model,
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions.IncludeUsage,
		MaxTokens:    max(b.MaxTokens, b.MaxCompletionTokens),
		PromptTokens: len(messages)/bytesPerToken + 1,
		Prefixes:     prefixes(messages),
		Body:         data,
	}, nil
}

// prefixLengths are the lengths, in bytes, of the hashed starts of a prompt.
var prefixLengths = []int{256, 1024, 4096, 16384}

func prefixes(messages []byte) []uint64 {
	var out []uint64
	for _, n := range prefixLengths {
		if n > len(messages) {
			break
		}
		out = append(out, xxhash.Sum64(messages[:n]))
	}
	return out
}

func decodeError(err error) *exchange.Failure {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return exchange.BadRequest("malformedJson", "", fmt.Sprintf("the body is no JSON: byte %d: %v", syntax.Offset, err))
	}
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return exchange.BadRequest("wrongType", typ.Field, fmt.Sprintf("%s must not be a %s", typ.Field, typ.Value))
	}
	return exchange.BadRequest("malformedJson", "", err.Error())
}
