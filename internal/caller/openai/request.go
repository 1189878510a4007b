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
	// bytesPerToken is the typical length of a token of text, for estimating the number
	// of prompt tokens.
	bytesPerToken = 4
)

// Request is a decoded chat completion request: the fields that the router needs, and the
// body, which is passed on.
type Request struct {
	Model        string
	Stream       bool
	IncludeUsage bool // the caller wants token counts at the end of the stream
	// MaxTokens is the maximum number of output tokens; 0 if the caller sets no limit.
	MaxTokens int
	// PromptTokens is an estimate, computed from the length of the messages.
	PromptTokens int
	// Prefixes are hashes of the first 256, 1024, 4096 and 16384 bytes of the messages,
	// as far as the messages are that long, for routing by shared prompt prefix.
	Prefixes []uint64
	Body     []byte
}

// requestBody holds the fields of a chat completion request that the router reads.
type requestBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Decode parses and validates the body of a chat completion request. Errors are of type
// *exchange.Failure.
func Decode(data []byte) (Request, error) {
	var b requestBody
	if err := json.Unmarshal(data, &b); err != nil {
		return Request{}, decodeError(err)
	}
	if b.Model == "" {
		return Request{}, exchange.BadRequest("missingModel", "model", "the field model is required")
	}
	messages := bytes.TrimSpace(b.Messages)
	if len(messages) < 3 || messages[0] != '[' {
		return Request{}, exchange.BadRequest("missingMessages", "messages", "messages must be a non-empty list")
	}
	if b.MaxTokens < 0 || b.MaxCompletionTokens < 0 {
		return Request{}, exchange.BadRequest("badMaxTokens", "max_tokens", "max_tokens and max_completion_tokens must not be negative")
	}
	return Request{
		Model:        b.Model,
		Stream:       b.Stream,
		IncludeUsage: b.StreamOptions.IncludeUsage,
		MaxTokens:    max(b.MaxTokens, b.MaxCompletionTokens),
		PromptTokens: len(messages)/bytesPerToken + 1,
		Prefixes:     hashPrefixes(messages),
		Body:         data,
	}, nil
}

// prefixLengths are the lengths, in bytes, of the message prefixes that are hashed.
var prefixLengths = []int{256, 1024, 4096, 16384}

// hashPrefixes returns a hash of each prefix of messages with one of the prefixLengths,
// the longest last.
func hashPrefixes(messages []byte) []uint64 {
	var out []uint64
	for _, n := range prefixLengths {
		if n > len(messages) {
			break
		}
		out = append(out, xxhash.Sum64(messages[:n]))
	}
	return out
}

// decodeError returns the failure for a body that json.Unmarshal rejected with err.
func decodeError(err error) *exchange.Failure {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return exchange.BadRequest("malformedJson", "", fmt.Sprintf("the body is not valid JSON: byte %d: %v", syntaxErr.Offset, err))
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return exchange.BadRequest("wrongType", typeErr.Field, fmt.Sprintf("%s has the wrong type: got %s", typeErr.Field, typeErr.Value))
	}
	return exchange.BadRequest("malformedJson", "", err.Error())
}
