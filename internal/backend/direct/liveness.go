package direct

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

const (
	// closingFactor extends the time for which a server has to accept connections to count as alive, if
	// it closes idle ones meanwhile: a process that ends closes its connections one after the other.
	closingFactor = 8
	// lateClose bounds how late the close of a connection arrives after its process has ended, with two
	// retransmissions.
	lateClose = clock.Second
	// replyTimeout bounds one attempt to open a connection, and attemptInterval is the time to a further
	// one beside it: the SYN may have been lost, or dropped by a full accept queue.
	replyTimeout    = 300 * clock.Millisecond
	attemptInterval = 100 * clock.Millisecond
	// recheckInterval is the time between two looks at the other connections of a server that refused
	// one, and the pause after an attempt that failed with no reply.
	recheckInterval = 10 * clock.Millisecond
)

// Liveness is what is known of the process of a server.
type Liveness int

// The states of a server. A server of which nothing is known is Unknown.
const (
	Unknown Liveness = iota
	Alive
	Ended
)

// String returns the name of l as it stands in logs.
func (l Liveness) String() string {
	switch l {
	case Alive:
		return "alive"
	case Ended:
		return "ended"
	default:
		return "unknown"
	}
}

// Look is what has been seen of a server since an answer of it ended. Times count from that end.
type Look struct {
	// Settle is the time within which a process that ended with the answer closes its listener.
	Settle clock.Millis
	// Elapsed is the time of the look.
	Elapsed clock.Millis
	// Listening is the last time at which the server's address is known to have taken connections.
	Listening clock.Millis
	// Refused is set if it refused one, Closed if it took one and closed it in order. A server that has
	// too many connections resets new ones; what takes connections for one that has ended closes them.
	Refused, Closed bool
	// OthersOpen is set if connections from before that are open, OthersClosed if the server has
	// closed idle ones.
	OthersOpen, OthersClosed bool
	// OthersUnread is set if such connections may be open, but unread data may hold their close back.
	OthersUnread bool
	// OthersLeft is set if the gateway itself has closed such a connection since the end, while it was open.
	OthersLeft bool
	// Answered is set if the server has answered what was sent after the end, on a connection from
	// before it.
	Answered bool
	// Err is the last error of an attempt that shows nothing of the server; nil if there was none.
	Err error
}

// Settled returns the time from which a sign of the server shows that it did not end with the
// answer. A process closes its connections one after the other, its listener among the last.
func (l Look) Settled() clock.Millis {
	switch {
	case l.Refused:
		return max(closingFactor*l.Settle, lateClose)
	case l.OthersClosed:
		return closingFactor * l.Settle
	default:
		return l.Settle
	}
}

// Liveness returns what l proves. A reset is no sign of an end: a server that has too many connections
// resets new ones.
func (l Look) Liveness() Liveness {
	switch {
	case l.Answered:
		return Alive
	case l.Refuses():
		return Ended
	case l.Refused && l.OthersOpen && l.Elapsed >= l.Settled():
		// It has closed its listener, and serves the connections that it has.
		return Alive
	case l.Refused || l.Closed && !l.OthersOpen:
		return Unknown
	case l.Listening >= l.Settled():
		return Alive
	default:
		return Unknown
	}
}

// Refuses reports whether the server has no connection any more, old or new.
func (l Look) Refuses() bool {
	return (l.Refused || l.Closed) && !l.OthersOpen && !l.OthersUnread && !l.OthersLeft
}

// Fields returns l as it stands in logs.
func (l Look) Fields() map[string]any {
	f := map[string]any{
		"evidence": "connection", "elapsedMs": int64(l.Elapsed), "listeningMs": int64(l.Listening), "refused": l.Refused,
		"closed": l.Closed, "othersOpen": l.OthersOpen, "othersClosed": l.OthersClosed,
		"othersUnread": l.OthersUnread, "othersLeft": l.OthersLeft,
	}
	if l.Err != nil {
		f["dialError"] = l.Err.Error()
	}
	return f
}

// check finds out whether a server has ended. It belongs to one goroutine.
type check struct {
	pool      *Pool
	endMs     clock.Millis
	refusedMs clock.Millis // when a connection was refused, or closed in order
	look      Look
	// conn is the connection that the check holds open, nil without one; kept is set once it was open
	// until the look settled.
	conn *conn
	kept bool
	// closes is the number of connections of the check that the server has closed.
	closes int
}

// Look finds out whether the server has ended, now that an answer of it has. It returns once it is
// known, or ctx has ended. A connection that stays open is kept for the next request.
func (p *Pool) Look(ctx context.Context, settle clock.Millis) Look {
	p.closeDead()
	k := &check{pool: p, endMs: p.clock.Now(), look: Look{Settle: settle}}
	defer k.release()
	for {
		k.observe()
		if k.look.Liveness() != Unknown || ctx.Err() != nil {
			return k.look
		}
		k.step(ctx)
	}
}

// observe takes up what is known without a new connection.
func (k *check) observe() {
	p, l := k.pool, &k.look
	l.Elapsed = p.clock.Now() - k.endMs
	acceptedMs, answered := p.signsSince(k.endMs)
	l.Listening = max(l.Listening, acceptedMs-k.endMs)
	l.Answered = l.Answered || answered
	if dead, _ := p.closeDead(); dead > 0 {
		l.OthersClosed = true
	}
	if l.Refused || l.Closed {
		others := p.stateBefore(k.refusedMs)
		l.OthersOpen, l.OthersUnread = others == connOpen, others == connUnread
		l.OthersLeft = p.leftSince(k.endMs, k.refusedMs)
	}
}

// step waits for the next sign of the server, or causes one.
func (k *check) step(ctx context.Context) {
	wait := k.look.Settled() - k.look.Elapsed
	switch {
	case k.look.Refused || k.look.Closed && !k.look.OthersOpen:
		if wait <= 0 {
			wait = recheckInterval
		}
		k.sleep(ctx, min(wait, recheckInterval))
	case k.conn != nil:
		k.hold(ctx, wait)
	case k.closes > 1 && wait > 0:
		// The first one after a closed connection tells a server that runs on from one that has ended,
		// unless another process takes connections by then. A further one tells no more.
		k.sleep(ctx, wait)
	default:
		k.dial(ctx)
	}
}

// sleep waits for d; Look sees the end of ctx.
func (k *check) sleep(ctx context.Context, d clock.Millis) { _ = k.pool.clock.Sleep(ctx, d) }

// hold waits until the held connection was open for d, the server closes it, or the time of ctx is up. After
// one was closed, the next may have been opened as the listener was closed, and stay open with no process
// behind it.
func (k *check) hold(ctx context.Context, d clock.Millis) {
	most := d.Duration()
	if end, ok := ctx.Deadline(); ok {
		most = min(most, time.Until(end))
	}
	err := k.conn.waitEnd(most)
	if err == nil && k.closes == 0 {
		k.kept = d > 0
		k.look.Listening = k.pool.clock.Now() - k.endMs
		return
	}
	if errors.Is(err, io.EOF) {
		k.look.Closed = true
		k.refusedMs = k.pool.clock.Now()
	}
	_ = k.conn.Close()
	k.conn, k.kept = nil, false
	k.closes++
}

// dial opens a connection.
func (k *check) dial(ctx context.Context) {
	c, err := k.pool.firstReply(ctx)
	switch {
	case err == nil:
		k.conn = c
	case errors.Is(err, syscall.ECONNREFUSED):
		k.look.Refused = true
		k.refusedMs = k.pool.clock.Now()
	case errors.Is(err, syscall.ECONNRESET):
		k.closes++
	default:
		k.look.Err = err
		k.sleep(ctx, recheckInterval)
	}
}

// release keeps the connection of the check for the next request if the server has not closed it in
// time, and closes it otherwise.
func (k *check) release() {
	switch {
	case k.conn == nil:
	case k.kept && k.look.Liveness() == Alive:
		k.pool.put(k.conn)
	default:
		_ = k.conn.Close()
	}
}

// attempt is the result of an attempt to open a connection.
type attempt struct {
	conn *conn
	err  error
}

// replied reports whether the server has replied to a.
func (a attempt) replied() bool {
	return a.err == nil || errors.Is(a.err, syscall.ECONNREFUSED) || errors.Is(a.err, syscall.ECONNRESET)
}

// firstReply opens a connection by attempts beside each other, and returns the result of the first
// one that the server replies to, or the error of the last one.
func (p *Pool) firstReply(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout.Duration())
	defer cancel()
	results := make(chan attempt)
	begin := func() {
		go func() {
			c, err := p.dial(ctx)
			select {
			case results <- attempt{c, err}:
			case <-ctx.Done():
				if err == nil {
					_ = c.Close()
				}
			}
		}()
	}
	next := time.NewTicker(attemptInterval.Duration())
	defer next.Stop()
	begin()
	for open := 1; ; {
		select {
		case a := <-results:
			if open--; a.replied() || open == 0 {
				return a.conn, a.err
			}
		case <-next.C:
			begin()
			open++
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}
