package direct

import (
	"context"
	"time"

	"github.com/damaskport/damaskport/internal/policy/whole"
	"github.com/damaskport/damaskport/internal/runtime/tcp"
)

// upload is the sending of a request. The goroutine that writes it calls end; the others belong to the reader of
// the answer.
type upload struct {
	c    *conn
	done chan struct{} // closed with err
	err  error
	sent bool // it was known to be sent when the answer ended
}

func newUpload(c *conn) *upload { return &upload{c: c, done: make(chan struct{})} }

// end records the result of writing the request.
func (u *upload) end(err error) {
	u.err = err
	close(u.done)
}

// wait returns the result of writing the request once it is known.
func (u *upload) wait() error {
	<-u.done
	return u.err
}

// written reports whether the request was written completely.
func (u *upload) written() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// note records the state at the end of the answer: the connection may be closed when it is asked for.
func (u *upload) note() { u.sent = u.state() == whole.Sent }

// state returns what is known of the upload.
func (u *upload) state() whole.Upload {
	select {
	case <-u.done:
	default:
		return whole.Running
	}
	if u.err != nil {
		return whole.Failed
	}
	switch tcp.Delivered(u.c.Conn) {
	case tcp.Acknowledged:
		return whole.Sent
	case tcp.Lost:
		return whole.Failed
	default:
		return whole.Running
	}
}

// await returns the state of the upload once it is no longer running, or ctx has ended.
func (u *upload) await(ctx context.Context) whole.Upload {
	if u.sent {
		return whole.Sent
	}
	select {
	case <-u.done:
	case <-ctx.Done():
		return u.state()
	}
	again := time.NewTicker(tcp.DeliveryInterval)
	defer again.Stop()
	for {
		if s := u.state(); s != whole.Running {
			return s
		}
		select {
		case <-again.C:
		case <-ctx.Done():
			return u.state()
		}
	}
}
