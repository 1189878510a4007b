package service_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damaskport/damaskport/internal/backend/service"
)

// lateServer answers each request, and with the next one on the same connection writes
// the answer before once more. It repeats attempts in its answers if told to.
func lateServer(t *testing.T, repeats bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerLate(c, repeats)
		}
	}()
	return "http://" + ln.Addr().String()
}

func answerLate(c net.Conn, repeats bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	before := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		body := "answer to " + r.URL.Path
		head := ""
		if repeats {
			head = "X-Damaskport-Attempt: " + r.Header.Get("X-Damaskport-Attempt") + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		if _, err := io.WriteString(c, before+answer); err != nil {
			return
		}
		before = answer
	}
}

// TestLateSecondCopy has a service write an answer once more, late, on a connection
// that is in use again: no call gets the answer to another one.
func TestLateSecondCopy(t *testing.T) {
	for _, repeats := range []bool{true, false} {
		t.Run(fmt.Sprintf("repeats attempts: %t", repeats), func(t *testing.T) {
			c := service.New(lateServer(t, repeats), time.Second)
			defer c.Close()
			whole := 0
			for i := range 12 {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				path := fmt.Sprint("/", i)
				res, err := c.Do(ctx, service.Call{Attempt: fmt.Sprint("a-", i), Method: http.MethodGet, Path: path, Body: strings.NewReader("")})
				if err == nil {
					data, err := io.ReadAll(res.Body)
					_ = res.Body.Close()
					if err == nil && string(data) != "answer to "+path {
						t.Errorf("call %s got %q", path, data)
					}
					whole++
				}
				cancel()
			}
			if whole < 6 {
				t.Errorf("%d of 12 calls were answered", whole)
			}
		})
	}
}
