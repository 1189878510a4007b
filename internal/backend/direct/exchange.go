package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/policy/whole"
	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/http1"
)

const (
	// maxSkipped is the number of responses to earlier requests that are skipped before
	// the request fails.
	maxSkipped = 2
	// maxSkippedBytes bounds the body of each skipped response.
	maxSkippedBytes = 1 << 20
)

// Request is a request to a backend server.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether a response with this status and header belongs to the
	// request (mine), and whether it carries a request ID at all (identified). The connection is
	// not reused after a response that doesn't, since a second copy of it would be
	// taken for the response to the next request. On a connection that has served another
	// request, one that doesn't proves nothing: it may be a copy of an earlier one. If Mine
	// is nil, every response is taken to belong to the request and to carry its ID.
	Mine func(status int, h http.Header) (mine, identified bool)
	// Allowed reports whether the request may still be sent on a connection that was
	// opened at a time. It is called right before the first byte is written, because the
	// answer may change while a connection is opened. If Allowed is nil, the request is
	// sent.
	Allowed func(openedMs clock.Millis) bool
	// Fresh requests a connection that has served no other request, for a request without an
	// ID that its response could carry.
	Fresh bool
}

// UnidentifiedError reports a response that carries no request ID on a connection that has
// served another request. The server may have executed the request.
type UnidentifiedError struct{ Status int }

// Error returns the status of the response.
func (e *UnidentifiedError) Error() string {
	return fmt.Sprintf("response with status %d and no request ID on a connection that has served another request", e.Status)
}

// ErrWithheld is the cause of the NotSentError for a request whose Allowed function
// returned false.
var ErrWithheld = errors.New("sending to this server is no longer allowed")

// Answer is the response of a backend server. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 if it is unknown.
	Length int64
	// Framed is true if a complete body can be told from a truncated one: it has a
	// Content-Length or is chunked.
	Framed bool
	// OpenedMs is when the connection was opened.
	OpenedMs clock.Millis

	upload *upload
}

// AwaitUpload returns what became of the upload of the request, once that is known or ctx has ended. It is
// called when the body has ended.
func (a *Answer) AwaitUpload(ctx context.Context) whole.Upload { return a.upload.await(ctx) }

// Do sends r once and returns the response. The error is a *NotSentError if no byte of r
// was sent; after any other error the server may have executed r. When ctx ends, the
// connection is reset, also while the body is being read, so that nothing of r is sent later.
func (p *Pool) Do(ctx context.Context, r Request) (*Answer, error) {
	get := p.get
	if r.Fresh {
		get = p.open
	}
	c, err := get(ctx)
	if err != nil {
		return nil, err
	}
	if r.Allowed != nil && !r.Allowed(c.openedMs) {
		p.put(c)
		return nil, &NotSentError{ErrWithheld}
	}
	if err := c.expectBody(len(r.Body)); err != nil {
		_ = c.Close()
		return nil, &NotSentError{err}
	}
	stop := context.AfterFunc(ctx, func() {
		p.noteLeft(c)
		c.reset()
	})
	if ctx.Err() != nil {
		stop()
		_ = c.Close()
		return nil, &NotSentError{ctx.Err()}
	}
	done, sentMs := p.use(c), p.clock.Now()
	// r is written in a separate goroutine because the server may respond before it has
	// read all of a long body.
	up := newUpload(c)
	go func() { up.end(writeRequest(c.bw, r)) }()
	res, err := c.readResponse(r)
	fresh := !c.served
	c.served = true
	if err != nil {
		stop()
		done()
		_ = c.Close()
		if unidentified := (*UnidentifiedError)(nil); errors.As(err, &unidentified) {
			p.stopReuse()
		}
		werr := up.wait()
		if fresh && (isReset(err) || isReset(werr)) {
			p.reset()
		}
		if werr != nil && ctx.Err() == nil {
			err = errors.Wrap(err, werr.Error())
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	p.answered(c, sentMs)
	c.setIdleTimeout(res.Header)
	b := &body{ReadCloser: res.Body, c: c, pool: p, unuse: done, stopCtxWatch: stop, upload: up, framed: hasDelimitedBody(res), reusable: !res.Close && hasDelimitedBody(res)}
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Body: b, Length: res.ContentLength,
		Framed: hasDelimitedBody(res), OpenedMs: c.openedMs, upload: up,
	}, nil
}

// isReset reports whether err shows that the server reset the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// hasDelimitedBody reports whether a complete body can be told from a truncated one.
func hasDelimitedBody(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
}

// readResponse reads the response that belongs to r. It skips up to maxSkipped responses to
// earlier requests, which a faulty server may send late; r.Mine recognises them.
func (c *conn) readResponse(r Request) (*http.Response, error) {
	for range maxSkipped + 1 {
		res, err := c.readHeader(r.Method)
		if err != nil {
			return nil, err
		}
		mine, identified := true, true
		if r.Mine != nil {
			mine, identified = r.Mine(res.StatusCode, res.Header)
		}
		c.noReuse = c.noReuse || !mine || !identified
		if mine && !identified && c.served {
			return nil, &UnidentifiedError{res.StatusCode}
		}
		if mine {
			return res, nil
		}
		if err := discardBody(res.Body); err != nil {
			return nil, errors.Wrap(err, "skipping a response to another request")
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// discardBody reads the body of a skipped response to its end, up to maxSkippedBytes.
func discardBody(r io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxSkippedBytes))
	if err == nil && n == maxSkippedBytes {
		return &bounded.TooLargeError{What: "its body", Bytes: maxSkippedBytes}
	}
	return err
}

// readHeader skips informational (1xx) responses and reads the status line and header of
// the response after them. http1.MaxHeadBytes bounds all of them together, since a faulty
// server may send an endless header.
func (c *conn) readHeader(method string) (*http.Response, error) {
	c.headerLimit.Bound("the response header", http1.MaxHeadBytes)
	defer c.headerLimit.Release()
	for range http1.MaxInformational + 1 {
		res, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := http1.CheckStatus(res.StatusCode); err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, errors.Errorf("more than %d informational (1xx) responses", http1.MaxInformational)
}

// writeRequest writes r with a Host header, and with a Content-Length unless r is a GET or
// HEAD request without a body.
func writeRequest(w *bufio.Writer, r Request) error {
	b := make([]byte, 0, 128)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	if _, err := w.Write(b); err != nil {
		return err
	}
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}

// body is a response body that returns its connection to the pool when it is closed
// after having been read to its end.
type body struct {
	io.ReadCloser
	c    *conn
	pool *Pool
	// stopCtxWatch stops closing the connection when the context of the request ends. It
	// returns false if the context has ended.
	stopCtxWatch func() bool
	unuse        func() // ends the use of c
	upload       *upload
	framed       bool // the end of the body shows without that of the connection
	reusable     bool // the response allows another request on the connection
	complete     bool // the body was read to its end
	closed       bool
}

// Read reads from the body and records whether its end was reached.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
		if !b.framed {
			b.upload.note()
		}
	}
	return n, err
}

// Close returns the connection to the pool, or closes it. It is reused only if request
// and response are complete, no data follows the response, the server doesn't close the
// connection, and every response on it carried the ID of its request.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.stopCtxWatch() && b.complete && b.reusable && b.upload.written() && b.c.br.Buffered() == 0 && !b.c.noReuse {
		b.unuse()
		b.pool.put(b.c)
		return nil
	}
	b.pool.noteLeft(b.c)
	b.unuse()
	return b.c.Close()
}
