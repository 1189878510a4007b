package direct

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/bounded"
	"github.com/damaskport/damaskport/internal/runtime/http1"
)

const (
	// maxStray is how many late answers to earlier requests are skipped.
	maxStray      = 2
	maxStrayBytes = 1 << 20
)

// Request is one send.
type Request struct {
	Method string
	Target string // as the caller sent it
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether an answer with these headers belongs to the request, and
	// whether it says so: behind one that does not, another one may come that is taken
	// for the answer to the next request. nil for answers that all say so.
	Mine func(status int, h http.Header) (mine, said bool)
	// Allowed is asked right before the first byte is written, since a new
	// connection takes a while; nil for yes.
	Allowed func() bool
}

// ErrWithheld is the cause of a NotSentError for a request that was not Allowed.
var ErrWithheld = errors.New("no longer to be sent there")

// Answer is a backend server's answer. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length, -1 when the server did not tell it.
	Length int64
	// Framed tells that the end of the body can be told from a cut.
	Framed bool
}

// Do sends r once. The error is a *NotSentError when no byte of it reached the
// server; after any other error it may have run. Ending ctx closes the
// connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, r Request) (*Answer, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	if r.Allowed != nil && !r.Allowed() {
		p.put(c)
		return nil, &NotSentError{ErrWithheld}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		stop()
		_ = c.Close()
		return nil, &NotSentError{ctx.Err()}
	}
	// The server may answer before it has read a long body.
	var written atomic.Bool
	wrote := make(chan error, 1)
	go func() {
		err := write(c.bw, r)
		written.Store(err == nil)
		wrote <- err
	}()
	res, err := c.answer(r)
	if err != nil {
		stop()
		_ = c.Close()
		if werr := <-wrote; werr != nil && ctx.Err() == nil {
			err = errors.Wrap(err, werr.Error())
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	c.note(res.Header)
	b := &body{ReadCloser: res.Body, c: c, pool: p, stop: stop, written: &written, keep: !res.Close && framed(res)}
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Body: b, Length: res.ContentLength,
		Framed: framed(res),
	}, nil
}

// framed reports whether the end of the body can be told from a cut.
func framed(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 && res.TransferEncoding[0] == "chunked"
}

// answer reads the answer that belongs to r. A server may answer an earlier
// request late; the id of the request tells such answers apart.
func (c *conn) answer(r Request) (*http.Response, error) {
	for range maxStray + 1 {
		res, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		mine, said := true, true
		if r.Mine != nil {
			mine, said = r.Mine(res.StatusCode, res.Header)
		}
		c.tainted = c.tainted || !mine || !said
		if mine {
			return res, nil
		}
		if err := discard(res.Body); err != nil {
			return nil, errors.Wrap(err, "answer to another request")
		}
	}
	return nil, errors.New("only answers to other requests")
}

// discard reads an answer to another request to its end.
func discard(r io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(r, maxStrayBytes))
	if err == nil && n == maxStrayBytes {
		return &bounded.TooLargeError{What: "its body", Bytes: maxStrayBytes}
	}
	return err
}

// readHead reads the head of an answer behind informational ones. All of them together
// have one bound: a server in trouble may send bytes that are no head, without end.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.Bound("the head of an answer", http1.MaxHeadBytes)
	defer c.limit.Release()
	for range http1.MaxInformational + 1 {
		res, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK || res.StatusCode == http.StatusSwitchingProtocols {
			return res, nil
		}
	}
	return nil, errors.Errorf("more than %d informational answers", http1.MaxInformational)
}

func write(w *bufio.Writer, r Request) error {
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

// body gives its connection back once it was read whole.
type body struct {
	io.ReadCloser
	c       *conn
	pool    *Pool
	stop    func() bool
	written *atomic.Bool
	keep    bool
	whole   bool
	closed  bool
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close ends the use of the connection. It is kept only after a whole answer to
// a request that was written whole, with no byte behind it.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.stop() && b.whole && b.keep && b.written.Load() && b.c.br.Buffered() == 0 && !b.c.tainted {
		b.pool.put(b.c)
		return nil
	}
	return b.c.Close()
}
