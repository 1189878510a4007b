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

// duplicatingServer starts a server that writes each response twice: once for its request,
// and again in front of the response to the next request on the same connection. If
// echoesIDs is set, its responses carry the attempt ID of their request. It returns the
// server's URL.
func duplicatingServer(t *testing.T, echoesIDs bool) string {
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
			go serveDuplicates(c, echoesIDs)
		}
	}()
	return "http://" + ln.Addr().String()
}

// serveDuplicates serves one connection of duplicatingServer.
func serveDuplicates(c net.Conn, echoesIDs bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	previous := ""
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
		if echoesIDs {
			head = "X-Damaskport-Attempt: " + r.Header.Get("X-Damaskport-Attempt") + "\r\n"
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		if _, err := io.WriteString(c, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}

// TestDuplicateResponseOnReusedConnection checks that no call gets the response to another
// call when a service writes a second copy of a response after the client has reused the
// connection.
func TestDuplicateResponseOnReusedConnection(t *testing.T) {
	for _, echoesIDs := range []bool{true, false} {
		t.Run(fmt.Sprintf("echoes attempt IDs: %t", echoesIDs), func(t *testing.T) {
			c := service.New(duplicatingServer(t, echoesIDs), time.Second)
			defer c.Close()
			answered := 0
			for i := range 12 {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				path := fmt.Sprint("/", i)
				res, err := c.Do(ctx, service.Call{Attempt: fmt.Sprint("a-", i), Method: http.MethodGet, Path: path, Body: strings.NewReader("")})
				if err == nil {
					data, err := io.ReadAll(res.Body)
					_ = res.Body.Close()
					if err == nil && string(data) != "answer to "+path {
						t.Errorf("call %s got body %q", path, data)
					}
					answered++
				}
				cancel()
			}
			if answered < 6 {
				t.Errorf("%d of 12 calls got a response, want at least 6", answered)
			}
		})
	}
}
