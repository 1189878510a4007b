package solo_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/damaskport/damaskport/internal/role/solo"
	"github.com/damaskport/damaskport/internal/runtime/logging"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// start runs a deployment until the test ends, and waits until it is ready.
func start(t *testing.T, cfg solo.Config) *solo.Solo {
	t.Helper()
	s, err := solo.New(cfg, testLog(t))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
		http.DefaultClient.CloseIdleConnections()
	})
	if err := s.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return s
}

func testLog(t *testing.T) *logrus.Logger {
	log, err := logging.New(t.Output(), "info")
	if err != nil {
		t.Fatal(err)
	}
	return log
}

func chat(nonce string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"nonce:%s tokens:%d"}]}`, solo.Model, stream, nonce, tokens)
}

func want(nonce string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, " %s-%d", nonce, i)
	}
	return b.String()
}

func post(t *testing.T, url, key, body string, header ...string) (int, http.Header, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, res.Header, data
}

type chunk struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
}

// streamed returns the content of a stream and whether it ended with the end mark.
func streamed(t *testing.T, data []byte) (string, bool) {
	t.Helper()
	var content strings.Builder
	sc := bufio.NewScanner(bytes.NewReader(data))
	done := false
	for sc.Scan() {
		line, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if line == "[DONE]" {
			done = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		for _, ch := range c.Choices {
			content.WriteString(ch.Delta.Content)
		}
	}
	return content.String(), done
}

func TestWholePath(t *testing.T) {
	cfg := solo.Defaults()
	cfg.TokenMs = 0
	s := start(t, cfg)
	key := s.Key("demo")
	t.Run("streamed", func(t *testing.T) {
		status, _, data := post(t, s.URL()+"/v1/chat/completions", key, chat("n1", 20, true))
		content, done := streamed(t, data)
		if diff := cmp.Diff(want("n1", 20), content); status != 200 || !done || diff != "" {
			t.Fatalf("status %d, end mark %t, diff %s", status, done, diff)
		}
	})
	t.Run("whole", func(t *testing.T) {
		status, _, data := post(t, s.URL()+"/v1/chat/completions", key, chat("n2", 20, false))
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil || status != 200 || len(c.Choices) != 1 {
			t.Fatalf("status %d, %v: %s", status, err, data)
		}
		if diff := cmp.Diff(want("n2", 20), c.Choices[0].Message.Content); diff != "" {
			t.Fatal(diff)
		}
	})
	t.Run("protected", func(t *testing.T) {
		status, _, data := post(t, s.URL()+solo.ServicePath+"/deposits", key, "nonce:n3", "Idempotency-Key", "deposit-1")
		if status != 200 || !strings.Contains(string(data), `"nonce":"n3"`) {
			t.Fatalf("status %d: %s", status, data)
		}
		status, _, data = post(t, s.URL()+solo.ServicePath+"/deposits", key, "nonce:n3", "Idempotency-Key", "deposit-1")
		if status != http.StatusConflict {
			t.Fatalf("repeated request: status %d: %s", status, data)
		}
		if n := executions(s); n != 1 {
			t.Fatalf("executed %d times", n)
		}
	})
}

func executions(s *solo.Solo) int {
	n := 0
	for _, sv := range s.Services() {
		n += len(sv.Executions())
	}
	return n
}

func TestBadInput(t *testing.T) {
	cfg := solo.Defaults()
	cfg.TokenMs = 0
	s := start(t, cfg)
	key := s.Key("demo")
	chatURL := s.URL() + "/v1/chat/completions"
	tests := []struct {
		name   string
		url    string
		key    string
		body   string
		header []string
		status int
		code   string
	}{
		{"no key", chatURL, "", chat("a", 1, true), nil, 401, "missingKey"},
		{"unknown key", chatURL, "dk_00000000_secret", chat("a", 1, true), nil, 401, "invalidKey"},
		{"wrong secret", chatURL, key + "x", chat("a", 1, true), nil, 401, "invalidKey"},
		{"malformed JSON", chatURL, key, `{"model":`, nil, 400, "malformedJson"},
		{"wrong type", chatURL, key, `{"model":1,"messages":[{}]}`, nil, 400, "wrongType"},
		{"no messages", chatURL, key, `{"model":"assistant-1"}`, nil, 400, "missingMessages"},
		{"unknown model", chatURL, key, `{"model":"other","messages":[{"role":"user","content":"x"}]}`, nil, 404, "modelNotFound"},
		{"oversized body", chatURL, key, strings.Repeat("x", 5<<20), nil, 413, "bodyTooLarge"},
		{"class not allowed", chatURL, key, chat("a", 1, true), []string{"X-Damaskport-Class", "other"}, 403, "classNotAllowed"},
		{"another account", chatURL, key, chat("a", 1, true), []string{"X-Damaskport-Account", "other"}, 403, "accountMismatch"},
		{"key in body", chatURL, key, chat(key, 1, true), nil, 400, "keyInRequest"},
		{"key in service path", s.URL() + solo.ServicePath + "/x?note=" + key, key, "", nil, 400, "keyInRequest"},
		{"no route", s.URL() + "/nowhere", key, "", nil, 404, "noRoute"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			status, _, data := post(t, tc.url, tc.key, tc.body, tc.header...)
			var got struct{ Error struct{ Code string } }
			if err := json.Unmarshal(data, &got); err != nil {
				t.Fatalf("%v: %s", err, data)
			}
			if diff := cmp.Diff([]any{tc.status, tc.code}, []any{status, got.Error.Code}); diff != "" {
				t.Fatal(diff)
			}
		})
	}
	if n := executions(s); n != 0 {
		t.Fatalf("%d requests reached a service", n)
	}
}

// TestMethodsOfKnownPaths asks for known paths by methods that they do not have.
func TestMethodsOfKnownPaths(t *testing.T) {
	s := start(t, solo.Defaults())
	for _, tc := range []struct{ method, path, allow string }{
		{http.MethodGet, "/v1/chat/completions", "POST"},
		{http.MethodDelete, "/v1/chat/completions", "POST"},
		{http.MethodPost, "/v1/models", "GET, HEAD"},
	} {
		r, err := http.NewRequestWithContext(t.Context(), tc.method, s.URL()+tc.path, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+s.Key("demo"))
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusMethodNotAllowed || res.Header.Get("Allow") != tc.allow {
			t.Errorf("%s %s: status %d, Allow %q; want 405 and %q", tc.method, tc.path, res.StatusCode, res.Header.Get("Allow"), tc.allow)
		}
	}
}

// TestIncompleteBodies sends a part of a body and then closes its side, or
// sends nothing more.
func TestIncompleteBodies(t *testing.T) {
	cfg := solo.Defaults()
	cfg.TokenMs, cfg.BodyTimeoutMs = 0, 300
	s := start(t, cfg)
	t.Run("half-closed", func(t *testing.T) { incompleteBody(t, s, true, http.StatusBadRequest, "bodyCutShort") })
	t.Run("slow", func(t *testing.T) { incompleteBody(t, s, false, http.StatusRequestTimeout, "bodyTimeout") })
}

func incompleteBody(t *testing.T, s *solo.Solo, closeWrite bool, status int, code string) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.URL(), "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{\"model\":", s.Key("demo"))
	if closeWrite {
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body)
	if res.StatusCode != status || !strings.Contains(string(data), code) {
		t.Fatalf("status %d: %s", res.StatusCode, data)
	}
}
