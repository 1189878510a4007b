package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// answer takes the tokens of a job and writes them to its caller.
type answer interface {
	// token adds token i, and sends what is buffered if flush is set.
	token(i int, flush bool)
	finish()
}

// usage counts tokens. CompletionTokens includes those that were resumed.
type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails tokenDetails `json:"prompt_tokens_details"`
}

type tokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (j *job) usage() usage {
	n := j.req.ResumeTokens + j.record.Generated
	return usage{j.plan.promptTokens, n, j.plan.promptTokens + n, tokenDetails{j.record.CachedTokens}}
}

func newAnswer(w http.ResponseWriter, j *job, id string) answer {
	if !j.req.Stream {
		return &wholeAnswer{w: w, j: j, id: id}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	model, _ := json.Marshal(j.req.Model)
	head := `data: {"id":"` + id + `","object":"chat.completion.chunk","created":` +
		strconv.FormatInt(time.Now().Unix(), 10) + `,"model":` + string(model) + `,"choices":[{"index":0,"delta":{`
	return &streamAnswer{w: w, rc: http.NewResponseController(w), j: j, head: head}
}

// streamAnswer writes server-sent events, one chunk per token.
type streamAnswer struct {
	w    http.ResponseWriter
	rc   *http.ResponseController
	j    *job
	head string
	buf  []byte
}

func (s *streamAnswer) token(i int, flush bool) {
	b := append(s.buf[:0], s.head...)
	if i == 0 {
		b = append(b, `"role":"assistant",`...)
	}
	b = append(b, `"content":"`...)
	b = appendToken(b, s.j.plan.nonce, i)
	b = append(b, "\"},\"finish_reason\":null}]}\n\n"...)
	s.buf = b
	_, _ = s.w.Write(b)
	if flush {
		_ = s.rc.Flush()
	}
}

func (s *streamAnswer) finish() {
	u, _ := json.Marshal(s.j.usage())
	b := append(s.buf[:0], s.head...)
	b = append(b, `},"finish_reason":"`...)
	b = append(b, s.j.record.End...)
	b = append(b, `"}],"usage":`...)
	b = append(b, u...)
	b = append(b, "}\n\n"...)
	_, _ = s.w.Write(b)
	_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
}

// wholeAnswer collects the tokens and writes one JSON object.
type wholeAnswer struct {
	w    http.ResponseWriter
	j    *job
	id   string
	text []byte
}

func (a *wholeAnswer) token(i int, _ bool) {
	a.text = appendToken(a.text, a.j.plan.nonce, i)
}

func (a *wholeAnswer) finish() {
	type reply struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int    `json:"index"`
		Message      reply  `json:"message"`
		FinishReason string `json:"finish_reason"`
	}
	body, _ := json.Marshal(struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{
		a.id, "chat.completion", time.Now().Unix(), a.j.req.Model,
		[]choice{{0, reply{"assistant", string(a.text)}, a.j.record.End}}, a.j.usage(),
	})
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = a.w.Write(body)
}

// appendToken appends the text of token i, " nonce-i".
func appendToken(b []byte, nonce string, i int) []byte {
	b = append(b, ' ')
	b = append(b, nonce...)
	b = append(b, '-')
	return strconv.AppendInt(b, int64(i), 10)
}
