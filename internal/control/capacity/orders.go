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

// listedOutcome returns the outcome of an intent, and true if the platform's list
// shows its effect: the started server is listed, or the stopped one is leaving or no
// longer listed.
func listedOutcome(in order.Intent, list capacity.Listing) (order.Outcome, bool) {
	stopped := in.Action == order.Stop
	for _, srv := range list.Servers {
		if in.Action == order.Start && srv.OrderID == in.OrderID {
			return order.Outcome{OrderID: in.OrderID, Result: order.Done, Server: srv.Name}, true
		}
		if in.Action == order.Stop && srv.Name == in.Server && srv.State != capacity.StateLeaving {
			stopped = false
		}
	}
	return order.Outcome{OrderID: in.OrderID, Result: order.Done, Server: in.Server}, stopped
}

// recordListedOutcomes records the outcomes of the pending intents whose effect the
// list shows.
func (s *session) recordListedOutcomes(ctx context.Context, list capacity.Listing) error {
	var rec order.Record
	for _, in := range s.fold.Pending() {
		if o, ok := listedOutcome(in, list); ok {
			rec.Outcomes = append(rec.Outcomes, o)
		}
	}
	if len(rec.Outcomes) == 0 {
		return nil
	}
	return s.append(ctx, rec)
}

// recordIntents records an intent for each order that the pools need. The orders are
// sent only after the intents have been read back from the stream.
func (s *session) recordIntents(ctx context.Context, list capacity.Listing) error {
	var rec order.Record
	for _, pool := range s.pools.Pools(ctx) {
		plan := pool.Decider.Plan(s.clock.Now(), s.observe(pool, list))
		for _, o := range plan.Orders {
			if o.Action == policy.ActionStop && !s.mayStop(list) {
				continue
			}
			s.orderSeq++
			rec.Intents = append(rec.Intents, order.Intent{
				OrderID: fmt.Sprintf("%d-%d", s.tenure.Term(), s.orderSeq),
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

// mayStop reports whether the tenure has lasted long enough for servers to be
// stopped.
func (s *session) mayStop(list capacity.Listing) bool {
	return s.clock.Now() >= s.startMs+noStopStartUps*list.StartUpMs
}

// observe returns the input of a pool's Decider: its listed servers, prices and
// demand, and the pending orders whose effect is not listed yet.
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
		if _, ok := listedOutcome(in, list); !ok && in.Pool == pool.Name {
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

// sendPending sends the orders of the pending intents whose effect is not listed, and
// records the outcomes that are known without the list.
func (s *session) sendPending(ctx context.Context, list capacity.Listing) error {
	var rec order.Record
	pending := s.fold.Pending()
	maps.DeleteFunc(s.sentOrders, func(id string, _ sentOrder) bool {
		return !slices.ContainsFunc(pending, func(in order.Intent) bool { return in.OrderID == id })
	})
	for _, in := range pending {
		if _, ok := listedOutcome(in, list); ok {
			continue
		}
		if o, ok := s.progressOrder(ctx, in, list); ok {
			rec.Outcomes = append(rec.Outcomes, o)
		}
	}
	if len(rec.Outcomes) == 0 {
		return nil
	}
	return s.append(ctx, rec)
}

// progressOrder drains a server or sends an order, if that is the next step of an
// intent. It returns the intent's outcome and whether it is known.
func (s *session) progressOrder(ctx context.Context, in order.Intent, list capacity.Listing) (order.Outcome, bool) {
	now := s.clock.Now()
	last := s.sentOrders[in.OrderID]
	if last.refused {
		return order.Outcome{OrderID: in.OrderID, Result: order.Refused}, true
	}
	if last.acceptedMs != 0 {
		// A server that is not listed by now will never be.
		return order.Outcome{OrderID: in.OrderID, Result: order.Done}, now >= last.acceptedMs+maxOrderDelay+list.StartUpMs
	}
	if now < last.retryAtMs {
		return order.Outcome{}, false
	}
	if in.Action == order.Stop && !s.drain(ctx, in) {
		return order.Outcome{}, false
	}
	return s.sendOrder(ctx, in)
}

// loadOf returns the number of running and waiting requests of a server. If it is
// unknown, the load counts as the highest, so that the server is stopped last.
func loadOf(p Pool, server string) int {
	if n, ok := p.Load[server]; ok {
		return n
	}
	return math.MaxInt32
}

// drain asks the server of an intent to drain, and reports whether it may be stopped:
// it has no work left, or DrainMs has passed since the intent.
func (s *session) drain(ctx context.Context, in order.Intent) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.TimeoutMs.Duration())
	defer cancel()
	done, err := s.drainer.Drain(ctx, in.Server)
	if err != nil {
		// A server that cannot be asked to drain may still have work, so it is not
		// stopped.
		s.logger.WithFields(logrus.Fields{"event": "drainFailed", "server": in.Server}).Warn(err)
		return false
	}
	return done || s.clock.Wall() >= in.AtMs+s.cfg.DrainMs
}

// sendOrder sends one order. It returns an outcome only if the platform rejected the
// order and no earlier request for the same order can take effect any more.
func (s *session) sendOrder(ctx context.Context, in order.Intent) (order.Outcome, bool) {
	now := s.clock.Now()
	last, sentBefore := s.sentOrders[in.OrderID]
	if !sentBefore && in.Term != s.tenure.Term() {
		last.lastUnknownMs = s.startMs
	}
	backoff := min(max(minResendInterval, 2*last.backoffMs), maxResendInterval)
	next := sentOrder{retryAtMs: now + backoff, backoffMs: backoff, lastUnknownMs: last.lastUnknownMs}
	timeoutCtx, cancel := context.WithTimeout(ctx, s.cfg.TimeoutMs.Duration())
	defer cancel()
	server, err := s.platform.Order(timeoutCtx, capacity.Order{
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
		next = sentOrder{acceptedMs: s.clock.Now()}
	case !errors.As(err, &status) || !status.Refused():
		next.lastUnknownMs = s.clock.Now()
	case last.lastUnknownMs == 0 || now >= last.lastUnknownMs+maxOrderDelay:
		next = sentOrder{refused: true}
	}
	s.sentOrders[in.OrderID] = next
	return order.Outcome{OrderID: in.OrderID, Result: order.Refused}, next.refused
}

// logOrder logs an order that was sent: the server that it affects, or the error.
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
