package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/backend/engine"
)

// TestCutErrorResponseIsNoAnswer guards against passing on a part of an engine's error response as all of it.
func TestCutErrorResponseIsNoAnswer(t *testing.T) {
	for text, whole := range map[string]bool{
		"400 Bad\r\nContent-Length: 9\r\n\r\nno model!":                        true,
		"400 Bad\r\nContent-Length: 9\r\n\r\nno mo":                            false,
		"400 Bad\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nno mo\r\n":          false,
		"600 Oh\r\nContent-Length: 9\r\n\r\nno model!":                         false,
		"000 Oh\r\nContent-Length: 9\r\n\r\nno model!":                         false,
		"101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n": false,
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 "+text)
		}()
		client := engine.New("http://"+ln.Addr().String(), time.Second, 1, nil)
		_, err = client.Start(t.Context(), engine.Attempt{ID: "a-1", Body: []byte(`{}`)})
		if status := (*engine.StatusError)(nil); err == nil || errors.As(err, &status) != whole {
			t.Errorf("%q: error %v, whole %v", text, err, whole)
		}
		client.Close()
		_ = ln.Close()
	}
}
