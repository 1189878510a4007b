package gateway

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/damaskport/damaskport/internal/caller/exchange"
	"github.com/damaskport/damaskport/internal/policy/whole"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/metrics"
)

// latencyBuckets are the upper bounds of the buckets of latency histograms, from
// 5 ms to 20 s.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
	4 * time.Second, 8 * time.Second, 20 * time.Second,
}

type gatewayMetrics struct {
	root   *metrics.Root
	dials  tally.Counter
	leader tally.Gauge
	delay  tally.Histogram
}

func newMetrics() *gatewayMetrics {
	root := metrics.New()
	return &gatewayMetrics{root: root, dials: root.Counter("server_dials"), leader: root.Gauge("duty_held"), delay: root.Histogram("processor_delay", latencyBuckets)}
}

// countRestore counts a restore of the store from a backup.
func (m *gatewayMetrics) countRestore() { m.root.Counter("store_restores").Inc(1) }

func (m *gatewayMetrics) dialed() { m.dials.Inc(1) }

func (m *gatewayMetrics) route(j *job) tally.Scope {
	name := ""
	if j.route != nil {
		name = j.route.Name
	}
	return m.root.Tagged(map[string]string{"route": name})
}

func (m *gatewayMetrics) started(j *job) { m.route(j).Counter("requests").Inc(1) }

func (m *gatewayMetrics) firstEvent(j *job, took clock.Millis) {
	m.route(j).Histogram("first_event", latencyBuckets).RecordDuration(took.Duration())
}

func (m *gatewayMetrics) answered(j *job, status int, whole bool, took clock.Millis) {
	s := m.route(j)
	s.Tagged(map[string]string{"status": strconv.Itoa(status), "whole": strconv.FormatBool(whole)}).Counter("answers").Inc(1)
	s.Histogram("answer", latencyBuckets).RecordDuration(took.Duration())
}

func (m *gatewayMetrics) refused(j *job, failure *exchange.Failure) {
	m.route(j).Tagged(map[string]string{"status": strconv.Itoa(failure.Status), "reason": failure.Code}).Counter("refusals").Inc(1)
}

// delayed records how long ready work waited for the processor.
func (m *gatewayMetrics) delayed(d clock.Millis) { m.delay.RecordDuration(d.Duration()) }

// queueWait records how long a request waited in an engine queue for its start.
func (m *gatewayMetrics) queueWait(j *job, waited clock.Millis) {
	m.route(j).Histogram("turn_wait", latencyBuckets).RecordDuration(waited.Duration())
}

// permit counts a request for a permit by its outcome, and records how long the answer
// took.
func (m *gatewayMetrics) permit(outcome string, took clock.Millis) {
	m.root.Tagged(map[string]string{"outcome": outcome}).Counter("server_permits").Inc(1)
	m.root.Histogram("permit_answer", latencyBuckets).RecordDuration(took.Duration())
}

func (m *gatewayMetrics) storeRead(t Topic, err error)  { m.storeCall("store_reads", t, err) }
func (m *gatewayMetrics) storeWrite(t Topic, err error) { m.storeCall("store_writes", t, err) }

func (m *gatewayMetrics) storeCall(name string, t Topic, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.root.Tagged(map[string]string{"topic": t.String(), "outcome": outcome}).Counter(name).Inc(1)
}

func (m *gatewayMetrics) servers(byPool map[string]int) {
	for name, n := range byPool {
		m.root.Tagged(map[string]string{"pool": name}).Gauge("servers").Update(float64(n))
	}
}

// countNotice counts a server notice, by which a server says that it is draining
// (kind "leaving"), asks for a back-off (kind "pause") or names a limit (kind "limit").
func (m *gatewayMetrics) countNotice(kind string) {
	m.root.Tagged(map[string]string{"kind": kind}).Counter("server_notices").Inc(1)
}

// serverEnded counts a server that refuses connections after a request broke off there.
func (m *gatewayMetrics) serverEnded() { m.root.Counter("servers_ended").Inc(1) }

// unframedAnswer counts an answer without framing by what was known of its server and of its upload after its end.
func (m *gatewayMetrics) unframedAnswer(f whole.Facts) {
	m.root.Tagged(map[string]string{"server": f.Server.String(), "upload": f.Upload.String()}).Counter("unframed_answers").Inc(1)
}

// inquiry counts a request that is suspected or refused, by its outcome and by what for: kind
// is "request" or "prompt".
func (m *gatewayMetrics) inquiry(outcome, kind string) {
	m.root.Tagged(map[string]string{"outcome": outcome, "kind": kind}).Counter("prompt_inquiries").Inc(1)
}

// trial counts an answer of the examiner.
func (m *gatewayMetrics) trial(granted bool) {
	m.root.Tagged(map[string]string{"granted": strconv.FormatBool(granted)}).Counter("prompt_trials").Inc(1)
}

// streamJoin counts a stream that went on, by the proof of its version, or did not, by the
// reason.
func (m *gatewayMetrics) streamJoin(outcome string) {
	m.root.Tagged(map[string]string{"outcome": outcome}).Counter("stream_joins").Inc(1)
}

// leading records whether this gateway is the leader.
func (m *gatewayMetrics) leading(isLeader bool) {
	v := 0.0
	if isLeader {
		v = 1
	}
	m.leader.Update(v)
}

func (m *gatewayMetrics) reported(err error) {
	m.root.Tagged(map[string]string{"ok": strconv.FormatBool(err == nil)}).Counter("usage_reports").Inc(1)
}

// interrupted logs and counts a stream that ended before it was complete.
func (g *Gateway) interrupted(j *job, reason string) {
	g.metrics.route(j).Counter("interrupted").Inc(1)
	now := g.clock.Now()
	j.log.WithFields(logrus.Fields{
		"event": "interrupted", "route": j.route.Name, "reason": reason, "events": j.caller.Progress().Writes, "sends": j.sends,
		"tookMs": int64(now - j.arrivedMs), "leftMs": int64(j.timeoutMs - now),
	}).Warn()
}
