package exchange

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const copyBytes = 16 << 10

// ErrCallerLeft reports a caller that no longer reads.
var ErrCallerLeft = errors.New("the caller has left")

// Codec speaks to the callers of one kind.
type Codec interface {
	// Refuse answers with a failure.
	Refuse(w http.ResponseWriter, f *Failure)
	// Break writes what a caller learns of a failure within an answer that has
	// begun; its connection is cut behind it.
	Break(w io.Writer, f *Failure)
}

// Caller is the caller's side of one exchange. One goroutine owns it.
type Caller struct {
	w         http.ResponseWriter
	rc        *http.ResponseController
	codec     Codec
	clock     clock.Clock
	arrivedMs clock.Millis
	progress  Progress
}

// Progress is what a caller has of its answer.
type Progress struct {
	// Begun tells that the head is out.
	Begun  bool
	Writes int // events of a stream
	Bytes  int64
	// FirstMs is the time from the request to the first write, and PauseMs the
	// longest time between two writes.
	FirstMs, PauseMs clock.Millis
	lastMs           clock.Millis
}

// NewCaller returns the side of a caller whose request arrived at a reading
// of c.
func NewCaller(w http.ResponseWriter, codec Codec, c clock.Clock, arrivedMs clock.Millis) *Caller {
	return &Caller{w: w, rc: http.NewResponseController(w), codec: codec, clock: c, arrivedMs: arrivedMs}
}

// Progress returns what the caller has.
func (c *Caller) Progress() Progress { return c.progress }

// Head hands over the head of the answer; only the first call does.
func (c *Caller) Head(status int, h http.Header) {
	if c.progress.Begun {
		return
	}
	c.progress.Begun = true
	dst := c.w.Header()
	for k, v := range h {
		dst[k] = v
	}
	if _, ok := dst["Content-Type"]; !ok {
		// Without a value the HTTP server does not guess one.
		dst["Content-Type"] = nil
	}
	c.w.WriteHeader(status)
}

// Write hands over p. Unless more is at hand, it is sent at once.
func (c *Caller) Write(p []byte, more bool) error {
	n, err := c.w.Write(p)
	c.progress.Bytes += int64(n)
	if err == nil && !more {
		err = c.rc.Flush()
	}
	if err != nil {
		return errors.Wrap(ErrCallerLeft, err.Error())
	}
	now := c.clock.Now()
	if c.progress.Writes == 0 {
		c.progress.FirstMs = now - c.arrivedMs
	} else {
		c.progress.PauseMs = max(c.progress.PauseMs, now-c.progress.lastMs)
	}
	c.progress.lastMs = now
	c.progress.Writes++
	return nil
}

// Copy hands over r as it arrives; alive is called after each read. The error
// is that of r, nil at its end, or ErrCallerLeft.
func (c *Caller) Copy(r io.Reader, alive func()) error {
	buf := make([]byte, copyBytes)
	for {
		n, err := r.Read(buf)
		alive()
		if n > 0 {
			if werr := c.Write(buf[:n], false); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Fail gives the caller f. Within an answer that has begun the connection is
// cut, so that the answer never looks whole; Fail does not return then.
func (c *Caller) Fail(f *Failure) {
	if !c.progress.Begun {
		c.codec.Refuse(c.w, f)
		return
	}
	c.codec.Break(c.w, f)
	c.Cut()
}

// Cut ends the caller's connection. It does not return.
func (c *Caller) Cut() {
	_ = c.rc.Flush()
	panic(http.ErrAbortHandler)
}
