package capacity

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/platform/capacity"
	"github.com/damaskport/damaskport/internal/platform/fenced"
	policy "github.com/damaskport/damaskport/internal/policy/capacity"
	"github.com/damaskport/damaskport/internal/state/order"
)

// shown returns the outcome of an intent that the list shows.
func shown(in order.Intent, list capacity.Listing) (order.Outcome, bool) {
	gone := in.Action == order.Stop
	for _, srv := range list.Servers {
		if in.Action == order.Start && srv.OrderID == in.OrderID {
			return order.Outcome{OrderID: in.OrderID, Result: order.Done, Server: srv.Name}, true
		}
		if in.Action == order.Stop && srv.Name == in.Server && srv.State != capacity.StateLeaving {
			gone = false
		}
	}
	return order.Outcome{OrderID: in.OrderID, Result: order.Done, Server: in.Server}, gone
}

// settle records the outcomes that the list shows.
func (s *session) settle(ctx context.Context, list capacity.Listing) error {
	var rec order.Record
	for _, in := range s.fold.Pending() {
		if o, ok := shown(in, list); ok {
			rec.Outcomes = append(rec.Outcomes, o)
		}
	}
	if len(rec.Outcomes) == 0 {
		return nil
	}
	return s.append(ctx, rec)
}

// intend records an intent for each order that the pools need. They are sent
// once they have been read back.
func (s *session) intend(ctx context.Context, list capacity.Listing) error {
	var rec order.Record
	for _, pool := range s.pools.Pools(ctx) {
		plan := pool.Decider.Plan(s.clock.Now(), s.observe(pool, list))
		for _, o := range plan.Orders {
			if o.Action == policy.ActionStop && !s.settled(list) {
				continue
			}
			s.seq++
			rec.Intents = append(rec.Intents, order.Intent{
				OrderID: fmt.Sprintf("%d-%d", s.tenure.Term(), s.seq),
				Action:  order.Action(o.Action),
				Pool:    pool.Name,
				Zone:    o.Zone,
				Server:  o.Server,
			})
		}
	}
	if len(rec.Intents) == 0 {
		return nil
	}
	return s.append(ctx, rec)
}

// settled reports whether the tenure is old enough to stop servers.
func (s *session) settled(list capacity.Listing) bool {
	return s.clock.Now() >= s.sinceMs+settleStartUps*list.StartUpMs
}

// observe returns the state of a pool with the orders that do not show yet.
func (s *session) observe(pool Pool, list capacity.Listing) policy.Observed {
	out := policy.Observed{Demand: pool.Demand, StartUpMs: list.StartUpMs}
	for _, srv := range list.Servers {
		if srv.Pool == pool.Name {
			out.Servers = append(out.Servers, policy.Server{
				Name:  srv.Name,
				Zone:  srv.Zone,
				State: policy.State(srv.State),
				Load:  loadOf(pool, srv.Name),
			})
		}
	}
	for _, p := range list.Prices {
		if p.Pool == pool.Name {
			out.Zones = append(out.Zones, policy.Zone{Name: p.Zone, PricePerHour: p.PerHour})
		}
	}
	for _, in := range s.fold.Pending() {
		if _, ok := shown(in, list); !ok && in.Pool == pool.Name {
			out.Pending = append(out.Pending, policy.Order{
				Action: policy.Action(in.Action),
				Pool:   in.Pool,
				Zone:   in.Zone,
				Server: in.Server,
			})
		}
	}
	return out
}

// send sends the orders of the intents that the list does not show, and
// records the outcomes that are known without it.
func (s *session) send(ctx context.Context, list capacity.Listing) error {
	var rec order.Record
	pending := s.fold.Pending()
	maps.DeleteFunc(s.sent, func(id string, _ attempt) bool {
		return !slices.ContainsFunc(pending, func(in order.Intent) bool { return in.OrderID == id })
	})
	for _, in := range pending {
		if _, ok := shown(in, list); ok {
			continue
		}
		if o, ok := s.advance(ctx, in, list); ok {
			rec.Outcomes = append(rec.Outcomes, o)
		}
	}
	if len(rec.Outcomes) == 0 {
		return nil
	}
	return s.append(ctx, rec)
}

// advance brings one intent forward, and returns its outcome if it is known.
func (s *session) advance(ctx context.Context, in order.Intent, list capacity.Listing) (order.Outcome, bool) {
	now := s.clock.Now()
	last := s.sent[in.OrderID]
	if last.refused {
		return order.Outcome{OrderID: in.OrderID, Result: order.Refused}, true
	}
	if last.answeredMs != 0 {
		// A list that does not show the server by now never will.
		return order.Outcome{OrderID: in.OrderID, Result: order.Done}, now >= last.answeredMs+lateMs+list.StartUpMs
	}
	if now < last.atMs {
		return order.Outcome{}, false
	}
	if in.Action == order.Stop && !s.drained(ctx, in) {
		return order.Outcome{}, false
	}
	return s.order(ctx, in)
}

// loadOf returns the load of a server. An unknown load counts as the highest,
// so that such a server is stopped last.
func loadOf(p Pool, server string) int {
	if n, ok := p.Load[server]; ok {
		return n
	}
	return math.MaxInt32
}

// drained drains the server of an intent and reports whether it may be stopped.
func (s *session) drained(ctx context.Context, in order.Intent) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.TimeoutMs.Duration())
	defer cancel()
	done, err := s.drainer.Drain(ctx, in.Server)
	if err != nil {
		// A server that cannot be told is not stopped: it may be at work.
		s.logger.WithFields(logrus.Fields{"event": "drainFailed", "server": in.Server}).Warn(err)
		return false
	}
	return done || s.clock.Wall() >= in.AtMs+s.cfg.DrainMs
}

// order sends one order. It returns an outcome only if the platform refused
// it, and no earlier sending of it can take effect any more.
func (s *session) order(ctx context.Context, in order.Intent) (order.Outcome, bool) {
	now := s.clock.Now()
	last, again := s.sent[in.OrderID]
	if !again && in.Term != s.tenure.Term() {
		last.unknownMs = s.sinceMs
	}
	pause := min(max(firstResend, 2*last.pauseMs), lastResend)
	next := attempt{atMs: now + pause, pauseMs: pause, unknownMs: last.unknownMs}
	limited, cancel := context.WithTimeout(ctx, s.cfg.TimeoutMs.Duration())
	defer cancel()
	server, err := s.platform.Order(limited, capacity.Order{
		OrderID: in.OrderID,
		Term:    s.tenure.Term(),
		Author:  s.cfg.Author,
		Action:  capacity.Action(in.Action),
		Zone:    in.Zone,
		Pool:    in.Pool,
		Server:  in.Server,
	}, s.tenure)
	s.logOrder(in, server, err)
	var status *fenced.StatusError
	switch {
	case err == nil:
		next = attempt{answeredMs: s.clock.Now()}
	case !errors.As(err, &status) || !status.Refused():
		next.unknownMs = s.clock.Now()
	case last.unknownMs == 0 || now >= last.unknownMs+lateMs:
		next = attempt{refused: true}
	}
	s.sent[in.OrderID] = next
	return order.Outcome{OrderID: in.OrderID, Result: order.Refused}, next.refused
}

func (s *session) logOrder(in order.Intent, server string, err error) {
	entry := s.logger.WithFields(logrus.Fields{
		"event":   "capacityOrder",
		"orderId": in.OrderID,
		"action":  in.Action,
		"zone":    in.Zone,
		"pool":    in.Pool,
		"term":    s.tenure.Term(),
	})
	if err != nil {
		entry.Warn(err)
		return
	}
	entry.WithField("server", server).Info()
}
