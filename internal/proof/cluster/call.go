package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout exceeds the time after which a sidecar gives up a silent service.
const callTimeout = 90 * time.Second

// Request is one request of a caller.
type Request struct {
	Method string // POST by default
	Path   string
	Key    string // Key by default
	// IdempotencyKey is sent if set.
	IdempotencyKey string
	Class          string
	Body           string
	// Context ends the call early, if set.
	Context context.Context
	// OnBytes is called as the answer arrives, if set, with all of it so far.
	OnBytes func(data []byte)
}

// ChatRequest asks for tokens of the nonce.
func ChatRequest(nonce string, tokens int, stream bool) Request {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":"nonce:%s tokens:%d"}]}`, Model, stream, nonce, tokens)
	return Request{Path: "/v1/chat/completions", Body: body}
}

// Reply is the answer to a request, as far as it arrived.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Err tells that the answer did not arrive whole.
	Err error
	// Code, NotRun and Unknown are those of the error in the body, if any.
	Code    string
	NotRun  bool
	Unknown bool
}

// Ended reports whether the caller learned an end in time: a whole answer, or
// one that was visibly cut after its head.
func (r Reply) Ended() bool {
	return r.Err == nil || r.Status != 0 && !errors.Is(r.Err, context.DeadlineExceeded)
}

// String describes the reply for a test's messages.
func (r Reply) String() string {
	return fmt.Sprintf("status %d code %q notRun=%v unknown=%v err=%v body %.200q", r.Status, r.Code, r.NotRun, r.Unknown, r.Err, r.Body)
}

// Call sends req to e on a connection of its own.
func (c *Cluster) Call(e *Entry, req Request) Reply {
	ctx := req.Context
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if req.Method == "" {
		req.Method = http.MethodPost
	}
	if req.Key == "" {
		req.Key = Key
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, e.CallerURL+req.Path, strings.NewReader(req.Body))
	if err != nil {
		return Reply{Err: err}
	}
	r.Header.Set("Authorization", "Bearer "+req.Key)
	r.Header.Set("Content-Type", "application/json")
	for name, v := range map[string]string{"Idempotency-Key": req.IdempotencyKey, "X-Damaskport-Class": req.Class} {
		if v != "" {
			r.Header.Set(name, v)
		}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	res, err := transport.RoundTrip(r)
	if err != nil {
		return Reply{Err: err}
	}
	defer res.Body.Close()
	out := Reply{Status: res.StatusCode, Header: res.Header}
	out.Body, out.Err = readAll(res.Body, req.OnBytes)
	out.decodeError()
	return out
}

func readAll(r io.Reader, onBytes func([]byte)) ([]byte, error) {
	var data []byte
	buf := make([]byte, 4<<10)
	for {
		n, err := r.Read(buf)
		data = append(data, buf[:n]...)
		if n > 0 && onBytes != nil {
			onBytes(data)
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

func (r *Reply) decodeError() {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			NotRun  bool   `json:"notRun"`
			Unknown bool   `json:"unknown"`
		} `json:"error"`
	}
	if r.Status < 400 || json.Unmarshal(r.Body, &body) != nil {
		return
	}
	r.Code, r.NotRun, r.Unknown = body.Error.Code, body.Error.NotRun, body.Error.Unknown
}
