package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/policy/place"
	"github.com/damaskport/damaskport/internal/policy/retry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// eventBuffer holds the lines of one read; longer lines are joined.
const eventBuffer = 16 << 10

// maxEventBytes bounds one event.
const maxEventBytes = 4 << 20

// relay is the answering of one stream over one or more sends.
type relay struct {
	g  *Gateway
	w  http.ResponseWriter
	rc *http.ResponseController
	j  *job
	// begun tells that the head is out; later sends keep it.
	begun  bool
	events int
	bytes  int64
	lastID string
	// firstMs is the time to the first event, lastMs when the last one came, and
	// pauseMs the longest time between two.
	firstMs, lastMs, pauseMs clock.Millis
}

// errCallerLeft reports a caller that no longer reads.
var errCallerLeft = errors.New("the caller has left")

// stream answers a request with events, resuming at another server where the
// route allows.
func (g *Gateway) stream(ctx context.Context, w http.ResponseWriter, j *job) {
	x := &relay{g: g, w: w, rc: http.NewResponseController(w), j: j}
	for {
		s, no := g.try(ctx, j, x.lastID, 0)
		if no != nil {
			x.refuse(no)
			return
		}
		if s.ans != nil && !s.reply.NotRun {
			if x.run(ctx, s) {
				return
			}
		}
		if ctx.Err() != nil && j.r.Context().Err() != nil || !g.again(j, s, x.events) {
			x.lost(s)
			return
		}
	}
}

// run passes one answer on and reports whether the request is finished. s has
// ended when it returns.
func (x *relay) run(ctx context.Context, s *send) bool {
	g, j := x.g, x.j
	if s.ans.Status != http.StatusOK || !s.reply.Stamped || s.reply.Encoded {
		if x.begun {
			s.outcome = retry.OutcomeFailed
			g.end(j, s, place.OutcomeFailed, "resumeRefused")
			return false
		}
		if s.ans.Status/100 != 2 {
			g.count(j)
		}
		return g.pass(x.w, j, s)
	}
	err := x.copy(s)
	switch {
	case err == nil:
		x.begin(s)
		g.end(j, s, place.OutcomeOK, "answered")
		g.mu.Lock()
		g.streamed.Add(j.route.Name, g.clock.Now()-s.beganMs)
		g.mu.Unlock()
		j.log = j.log.WithFields(logrus.Fields{"events": x.events, "firstMs": int64(x.firstMs), "pauseMs": int64(x.pauseMs)})
		g.answered(j, s, x.bytes, true)
		return true
	case errors.Is(err, errCallerLeft) || ctx.Err() != nil:
		s.err = err
		s.outcome = retry.OutcomeUnknown
		o := place.OutcomeLeft
		if errors.Is(context.Cause(ctx), errTimeout) && !s.begun {
			o = place.OutcomeFailed
		}
		g.end(j, s, o, "ended")
	default:
		s.err = err
		s.outcome = retry.OutcomeUnknown
		g.end(j, s, place.OutcomeFailed, "cut")
	}
	return false
}

// copy passes whole events on as they arrive; nil is a complete stream.
func (x *relay) copy(s *send) error {
	br := bufio.NewReaderSize(s.ans.Body, eventBuffer)
	var event []byte
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(event) <= maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return errors.New("an event is too long")
		case err == io.EOF && len(event) == 0:
			return nil
		case err == io.EOF && s.ans.Framed:
			// Bytes behind the last whole event belong to the answer, since its
			// end can be told from a cut.
			return x.write(s, event, "")
		case err != nil:
			return errors.Wrap(errCut, err.Error())
		}
		if !bytes.HasSuffix(event, []byte("\n\n")) && !bytes.HasSuffix(event, []byte("\n\r\n")) {
			continue
		}
		if err := x.write(s, event, eventID(event)); err != nil {
			return err
		}
		event = event[:0]
	}
}

// eventID returns the id that an event carries, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(v))
		}
	}
	return ""
}

// write hands one event to the caller.
func (x *relay) write(s *send, event []byte, id string) error {
	g := x.g
	if !s.begun {
		s.begun = true
		g.count(x.j)
		now := g.clock.Now()
		s.beganMs = now
		s.turn.begun()
		x.j.pool.with(func(b *place.Book) { b.Begun(now, s.choice, x.j.ask) })
		g.metrics.firstEvent(x.j, now-x.j.arrivedMs)
	}
	x.begin(s)
	n, err := x.w.Write(event)
	x.bytes += int64(n)
	if err == nil {
		err = x.rc.Flush()
	}
	if err != nil {
		return errors.Wrap(errCallerLeft, err.Error())
	}
	now := g.clock.Now()
	if x.events == 0 {
		x.firstMs = now - x.j.arrivedMs
	} else {
		x.pauseMs = max(x.pauseMs, now-x.lastMs)
	}
	x.lastMs = now
	x.events++
	if id != "" {
		x.lastID = id
	}
	return nil
}

// begin hands over the head of the first send's answer.
func (x *relay) begin(s *send) {
	if x.begun {
		return
	}
	x.begun = true
	x.g.head(x.w, s)
	x.w.WriteHeader(s.ans.Status)
}

// refuse ends the stream with the gateway's own answer; behind events, the
// connection is cut so that the end does not look complete.
func (x *relay) refuse(no *refusal) {
	if x.begun {
		x.cut(no.reason)
	}
	x.g.refuse(x.w, x.j, no)
}

func (x *relay) lost(s *send) {
	if x.begun {
		x.cut("interrupted")
	}
	x.g.lost(x.w, x.j, s)
}

func (x *relay) cut(reason string) {
	x.g.interrupted(x.j, reason, x.events)
	panic(http.ErrAbortHandler)
}
