// Package scheduler is the role beside a model engine that orders the starts of
// all gateways' requests there. Gateways work without it, and worse.
//
// One goroutine owns the state: connections, a timer and nothing else are its
// inputs. It keeps nothing that must last: after a restart the gateways tell
// what runs.
package scheduler

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/dispatch"
	"github.com/damaskport/damaskport/internal/peer/turns"
	"github.com/damaskport/damaskport/internal/policy/batch"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/metrics"
	"github.com/damaskport/damaskport/internal/runtime/ring"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

const (
	inputs = 4096
	// loadEvery is the least time between two loads told to a connection.
	loadEvery = 80 * clock.Millisecond
	// beatEvery is the most, so that gateways can tell silence from idleness.
	beatEvery = 700 * clock.Millisecond
	// silentAfter is the silence after which a connection is closed.
	silentAfter = 3 * clock.Second
	// maxParts bounds the shared parts that are remembered for new connections.
	maxParts      = 4096
	headerTimeout = 5 * time.Second
)

// Scheduler is the role. Create it with New and start it with Run.
type Scheduler struct {
	cfg       settings.Scheduler
	log       logrus.FieldLogger
	clock     clock.Clock
	root      *metrics.Root
	ln        net.Listener
	metricsLn net.Listener
	in        *ring.Ring[input]

	// Owned by the goroutine of own.
	engine turns.Engine
	batch  *batch.Scheduler
	links  map[*dispatch.Link]*client
	parts  map[string]string // by request that has not begun
	held   []string          // parts that the engine came to hold, in order
	known  map[string]bool
}

type client struct {
	entry  string
	told   batch.Load
	toldMs clock.Millis
	parts  int // of held that were told
}

// input is one message of a connection; params is nil when it has ended.
type input struct {
	link   *dispatch.Link
	method string
	params json.RawMessage
}

// New opens the scheduler's addresses.
func New(cfg settings.Scheduler, log logrus.FieldLogger, c clock.Clock) (*Scheduler, error) {
	s := &Scheduler{
		cfg: cfg, log: log, clock: c, root: metrics.New(), in: ring.New[input](inputs),
		batch: batch.New(batch.Config{}), links: map[*dispatch.Link]*client{}, parts: map[string]string{}, known: map[string]bool{},
	}
	var err error
	if s.ln, err = net.Listen("tcp", cfg.ControlAddr); err != nil {
		return nil, errors.Wrap(err, "controlAddr")
	}
	if s.metricsLn, err = net.Listen("tcp", cfg.MetricsAddr); err != nil {
		return nil, errors.Wrap(err, "metricsAddr")
	}
	return s, nil
}

// ControlAddr returns the address that gateways dial.
func (s *Scheduler) ControlAddr() string { return s.ln.Addr().String() }

// Run serves until ctx ends. Gateways then place requests by themselves.
func (s *Scheduler) Run(ctx context.Context) error {
	s.log.WithFields(logrus.Fields{"event": "start", "role": "scheduler", "controlAddr": s.ControlAddr()}).Info("scheduler started")
	err := supervise.New(s.cfg.Name, s.log, s.clock).Run(ctx,
		supervise.Duty{Name: "accept", Run: s.accept},
		supervise.Duty{Name: "own", Run: s.own},
		supervise.Duty{Name: "metrics", Run: s.serveMetrics},
	)
	_ = s.root.Close()
	s.log.WithFields(logrus.Fields{"event": "stop", "role": "scheduler"}).Info("scheduler stopped")
	return err
}

func (s *Scheduler) serveMetrics(ctx context.Context) error {
	srv := &http.Server{Handler: s.root.Handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(s.metricsLn); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *Scheduler) accept(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.ln.Close() })
	defer stop()
	for {
		conn, err := s.ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		l := dispatch.NewLink(conn, s.clock, func(l *dispatch.Link, method string, params json.RawMessage) (any, error) {
			return nil, s.in.Put(ctx, input{l, method, params})
		})
		go func() {
			select {
			case <-l.Done():
			case <-ctx.Done():
				l.Close()
			}
			_ = s.in.Put(ctx, input{link: l})
		}()
	}
}

// own applies inputs in their order.
func (s *Scheduler) own(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := s.clock.Now()
		timer.Reset(s.wait(now).Duration())
		select {
		case <-ctx.Done():
			return nil
		case in := <-s.in.C():
			if err := s.apply(s.clock.Now(), in); err != nil {
				s.log.WithFields(logrus.Fields{"event": "messageUnreadable", "method": in.method}).Warn(err)
				in.link.Close()
			}
		case <-timer.C:
			s.batch.Tick(s.clock.Now())
		}
		s.tell(s.clock.Now())
	}
}

func (s *Scheduler) wait(now clock.Millis) clock.Millis {
	wait := loadEvery
	if at, ok := s.batch.NextTick(now); ok {
		wait = min(wait, at-now)
	}
	return max(wait, clock.Millisecond)
}

func (s *Scheduler) apply(now clock.Millis, in input) error {
	c := s.links[in.link]
	if in.method == "" {
		if c != nil {
			delete(s.links, in.link)
			s.log.WithFields(logrus.Fields{"event": "entryGone", "entry": c.entry}).Info()
			s.batch.DropEntry(now, c.entry)
		}
		return nil
	}
	if in.method == dispatch.MethodHello {
		var h turns.Hello
		if err := json.Unmarshal(in.params, &h); err != nil {
			return err
		}
		s.greet(now, in.link, h)
		return nil
	}
	if c == nil {
		return errors.New("the first message must be a greeting")
	}
	if in.method == dispatch.MethodReserve || in.method == turns.MethodAnnounce {
		var r turns.Reservation
		if err := json.Unmarshal(in.params, &r); err != nil {
			return err
		}
		s.parts[r.ID] = r.Part
		if in.method == turns.MethodAnnounce {
			s.batch.Adopt(now, r.Request(now, c.entry), false)
		} else {
			s.batch.Ask(now, r.Request(now, c.entry))
		}
		return nil
	}
	var ref turns.Ref
	if err := json.Unmarshal(in.params, &ref); err != nil {
		return err
	}
	switch in.method {
	case dispatch.MethodCancel:
		delete(s.parts, ref.ID)
		s.batch.Cancel(now, ref.ID)
	case turns.MethodBegun:
		s.hold(s.parts[ref.ID])
		delete(s.parts, ref.ID)
		s.batch.Begun(now, ref.ID)
	case turns.MethodDone:
		delete(s.parts, ref.ID)
		s.batch.Done(now, ref.ID)
	}
	return nil
}

// greet takes a connection in. Another start of the engine holds nothing.
func (s *Scheduler) greet(now clock.Millis, l *dispatch.Link, h turns.Hello) {
	if h.Engine.Start > s.engine.Start || h.Engine.Start == s.engine.Start && h.Engine.ID != s.engine.ID {
		s.log.WithFields(logrus.Fields{"event": "engine", "server": h.Engine.ID, "start": h.Engine.Start}).Info()
		for old, c := range s.links {
			s.batch.DropEntry(now, c.entry)
			delete(s.links, old)
			old.Close()
		}
		s.engine = h.Engine
		s.batch = batch.New(batch.Config{Slots: h.Engine.Slots, MemoryTokens: h.Engine.MemoryTokens})
		s.held, s.known, s.parts = nil, map[string]bool{}, map[string]string{}
	}
	for old, c := range s.links {
		if c.entry == h.Entry {
			delete(s.links, old)
			old.Close()
			s.batch.DropEntry(now, c.entry)
		}
	}
	s.links[l] = &client{entry: h.Entry}
	for _, r := range h.Running {
		s.batch.Adopt(now, r.Request(now, h.Entry), r.Begun)
	}
	s.log.WithFields(logrus.Fields{"event": "entry", "entry": h.Entry, "running": len(h.Running)}).Info()
}

// hold notes a shared part that the engine has read.
func (s *Scheduler) hold(part string) {
	if part == "" || s.known[part] || len(s.held) >= maxParts {
		return
	}
	s.known[part] = true
	s.held = append(s.held, part)
}

// tell sends the entries what concerns them.
func (s *Scheduler) tell(now clock.Millis) {
	byEntry := map[string]*dispatch.Link{}
	for l, c := range s.links {
		byEntry[c.entry] = l
	}
	for _, a := range s.batch.Actions() {
		l := byEntry[a.Entry]
		f := logrus.Fields{"event": "offered", "request": a.ID, "entry": a.Entry}
		if !a.Granted {
			f["event"], f["retryAfterMs"] = "notOffered", int64(a.RetryAfterMs)
		}
		s.log.WithFields(f).Debug()
		switch {
		case l == nil:
		case a.Granted:
			l.Notify(dispatch.MethodOffer, turns.Ref{ID: a.ID})
		default:
			l.Notify(dispatch.MethodRefuse, turns.Refusal{ID: a.ID, RetryAfterMs: a.RetryAfterMs})
		}
	}
	load := s.batch.Load(now)
	for l, c := range s.links {
		changed := load != c.told || c.parts < len(s.held)
		if now-c.toldMs < loadEvery || !changed && now-c.toldMs < beatEvery {
			continue
		}
		l.Notify(turns.MethodLoad, turns.Load{Load: load, Parts: s.held[c.parts:]})
		c.told, c.toldMs, c.parts = load, now, len(s.held)
		if now-l.Heard() > silentAfter {
			l.Close()
		}
	}
	gauges(s.root, load)
}

func gauges(scope tally.Scope, l batch.Load) {
	scope.Gauge("engine_running").Update(float64(l.Running))
	scope.Gauge("engine_waiting").Update(float64(l.Waiting))
	scope.Gauge("engine_free_ms").Update(float64(l.FreeMs))
	scope.Gauge("engine_tokens_per_ms").Update(l.Speed)
}
