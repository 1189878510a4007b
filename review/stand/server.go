//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// serverOptions are the options of a backend server process.
type serverOptions struct {
	id, addr, version string
	// backlog bounds the connections that wait to be accepted; 0 for the system's bound.
	backlog int
}

// runServer runs a backend server until it is killed. It answers as its callers ask in the
// query of the request:
//
//	size, ms  a plain answer of this many bytes, sent over this time
//	n, gap    a stream of n events with this pause in ms
//	first     the time in ms before the first part
//	framing   length, chunked, or close: the answer ends with the connection
func runServer(args []string) {
	var o serverOptions
	f := flag.NewFlagSet("server", flag.ExitOnError)
	f.StringVar(&o.id, "id", "", "id of the server")
	f.StringVar(&o.addr, "addr", "", "address to listen on")
	f.StringVar(&o.version, "version", "1", "version of the server's software")
	f.IntVar(&o.backlog, "backlog", 0, "connections that may wait to be accepted")
	_ = f.Parse(args)
	ln, err := o.listen()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	fmt.Println("listening")
	for {
		c, err := ln.Accept()
		if err != nil {
			os.Exit(exitNotRun)
		}
		go o.serve(c)
	}
}

func (o serverOptions) listen() (net.Listener, error) {
	if o.backlog == 0 {
		return net.Listen("tcp", o.addr)
	}
	addr, err := netip.ParseAddrPort(o.addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, o.backlog); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	return net.FileListener(file)
}

func (o serverOptions) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !o.answer(c, r) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (o serverOptions) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	if e := r.Header.Get("Expect-Instance"); e != "" && e != o.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance: %s\r\nContent-Length: 0\r\n\r\n", id, o.id)
		return err == nil
	}
	q := r.URL.Query()
	number := func(name string) int { n, _ := strconv.Atoi(q.Get(name)); return n }
	fmt.Printf("ran %s from %q\n", id, r.Header.Get("Last-Event-Id"))
	parts, pause := o.parts(id, number("size"), time.Duration(number("ms"))*time.Millisecond)
	kind := "text/plain"
	if n := number("n"); n > 0 {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		parts, pause = o.events(id, from, n), time.Duration(number("gap"))*time.Millisecond
		kind = "text/event-stream"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s.%s\r\nContent-Type: %s\r\n", id, o.id, id, kind)
	framing := q.Get("framing")
	switch framing {
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n"
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\nKeep-Alive: timeout=1\r\n", len(strings.Join(parts, "")))
	default:
		head += "Connection: close\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return false
	}
	time.Sleep(time.Duration(number("first")) * time.Millisecond)
	for i, p := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if framing == "chunked" {
			p = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if _, err := io.WriteString(c, p); err != nil {
			return false
		}
	}
	if framing == "chunked" {
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	return framing == "length"
}

// partBytes is the size of the parts in which a plain answer is sent.
const partBytes = 8 << 10

// parts returns a plain answer of size bytes, and the pause between its parts.
func (o serverOptions) parts(id string, size int, over time.Duration) ([]string, time.Duration) {
	body := wholeBody(id, size)
	var out []string
	for len(body) > partBytes {
		out, body = append(out, body[:partBytes]), body[partBytes:]
	}
	out = append(out, body)
	return out, over / time.Duration(len(out))
}

// wholeBody returns the body of the plain answer to a request.
func wholeBody(id string, size int) string {
	line := "answer to " + id + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}

// events returns the events of a stream after the one with the number from. Each names the
// version of the server's software.
func (o serverOptions) events(id string, from, n int) []string {
	var out []string
	for i := from + 1; i <= n; i++ {
		out = append(out, fmt.Sprintf("id: %d\ndata: piece %d of %d by version %s\n\n", i, i, n, o.version))
	}
	return out
}
