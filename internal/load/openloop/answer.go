package openloop

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

var dataPrefix = []byte("data:")

// chunk is the part of a stream's event that is read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error *apiError `json:"error"`
}

type apiError struct {
	Message string `json:"message"`
	Code    any    `json:"code"`
	NotRun  bool   `json:"notRun"`
}

// reader follows one stream.
type reader struct {
	origin   time.Time
	windowUs int64
	text     strings.Builder
	finish   string
	done     bool
	err      *apiError
	last     int64
}

// read consumes body into s. It returns the transport's error, if any.
func (r *reader) read(body io.Reader, s *Sample) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			r.done = true
			continue
		}
		if err := r.event(data, s); err != nil {
			return err
		}
	}
	return sc.Err()
}

func (r *reader) event(data []byte, s *Sample) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("event: %w", err)
	}
	if c.Error != nil {
		r.err = c.Error
		return nil
	}
	for _, choice := range c.Choices {
		r.content(choice.Delta.Content, s)
		if choice.FinishReason != nil {
			r.finish = *choice.FinishReason
		}
	}
	return nil
}

func (r *reader) content(text string, s *Sample) {
	n := strings.Count(text, " ")
	if n == 0 {
		r.text.WriteString(text)
		return
	}
	now := time.Since(r.origin).Microseconds()
	if s.Tokens == 0 {
		s.FirstTokenUs = now
	} else {
		s.GapsUs = append(s.GapsUs, now-r.last)
	}
	if now <= r.windowUs {
		s.WindowTokens += n
	}
	r.last = now
	s.Tokens += n
	r.text.WriteString(text)
}

// judge compares the text with the answer that nonce and wanted call for.
func (r *reader) judge(nonce string, wanted int) (Outcome, string) {
	fields := strings.Fields(r.text.String())
	for i, f := range fields {
		if f == nonce+"-"+strconv.Itoa(i) && i < wanted {
			continue
		}
		return misplaced(f, nonce, i, wanted)
	}
	switch {
	case r.err != nil:
		return Failed, "error in the stream: " + r.err.Message
	case !r.done || r.finish == "":
		return Truncated, fmt.Sprintf("ended after %d of %d tokens, finish_reason %q, done %t", len(fields), wanted, r.finish, r.done)
	case len(fields) < wanted:
		return Truncated, fmt.Sprintf("%d of %d tokens with finish_reason %q", len(fields), wanted, r.finish)
	}
	return Complete, ""
}

// misplaced tells what is wrong with token f at place i.
func misplaced(f, nonce string, i, wanted int) (Outcome, string) {
	detail := fmt.Sprintf("token %d of %d is %q", i, wanted, f)
	number, own := strings.CutPrefix(f, nonce+"-")
	n, err := strconv.Atoi(number)
	if own && err == nil && n < i {
		return Duplicated, detail
	}
	return Wrong, detail
}
