package engine

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixChars is the length of the prompt prefix that the cache goes by.
	prefixChars    = 256
	charsPerToken  = 4
	defaultNonce   = "token"
	lengthSigma    = 1.0
	maxDrawnTokens = 4096
)

// chatRequest is the part of a chat completion's body that the engine reads.
type chatRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	Priority            int       `json:"priority"`
	RequestID           string    `json:"request_id"`
	ResumeTokens        int       `json:"resume_tokens"`
}

type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a text, or the joined texts of a list of parts.
type content string

// UnmarshalJSON decodes a string or a list of parts.
func (c *content) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		*c += content(p.Text)
	}
	return nil
}

func decodeRequest(data []byte) (chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(data, &req); err != nil {
		return req, err
	}
	if len(req.Messages) == 0 {
		return req, fmt.Errorf("messages: must not be empty")
	}
	if req.ResumeTokens < 0 {
		return req, fmt.Errorf("resume_tokens: %d: must not be negative", req.ResumeTokens)
	}
	return req, nil
}

// plan is what the engine will answer to a request.
type plan struct {
	nonce        string
	tokens       int
	finish       string // "stop" or "length"
	promptTokens int
	prefix       uint64
}

var (
	noncePattern  = regexp.MustCompile(`nonce:([A-Za-z0-9_.]+)`)
	tokensPattern = regexp.MustCompile(`tokens:(\d+)`)
)

func (e *Engine) plan(req chatRequest) plan {
	var prompt strings.Builder
	for _, m := range req.Messages {
		prompt.WriteString(string(m.Content))
		prompt.WriteByte('\n')
	}
	text := prompt.String()
	last := string(req.Messages[len(req.Messages)-1].Content)
	p := plan{nonce: defaultNonce, finish: "stop", promptTokens: (len(text) + charsPerToken - 1) / charsPerToken}
	if m := noncePattern.FindStringSubmatch(last); m != nil {
		p.nonce = m[1]
	}
	if m := tokensPattern.FindStringSubmatch(last); m != nil {
		p.tokens, _ = strconv.Atoi(m[1])
	} else {
		p.tokens = e.drawLength(text)
	}
	for _, limit := range []int{req.MaxTokens, req.MaxCompletionTokens} {
		if limit > 0 && limit < p.tokens {
			p.tokens, p.finish = limit, "length"
		}
	}
	p.prefix = xxhash.Sum64String(text[:min(len(text), prefixChars)])
	return p
}

// drawLength returns a log-normal length that depends on the prompt and the seed only.
func (e *Engine) drawLength(prompt string) int {
	rnd := rand.New(rand.NewPCG(e.cfg.Seed, xxhash.Sum64String(prompt)))
	n := float64(e.cfg.DefaultTokens) * math.Exp(lengthSigma*rnd.NormFloat64())
	return min(max(int(n), 1), maxDrawnTokens)
}
