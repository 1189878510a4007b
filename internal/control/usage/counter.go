package usage

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/state/window"
)

const (
	// defaultInterval is the default of CounterConfig.IntervalMs.
	defaultInterval = 5 * clock.Second
	// finalAttempts is the maximum number of appends that a Counter tries when it is
	// stopped.
	finalAttempts = 5
)

// CounterConfig holds the parameters of a Counter.
type CounterConfig struct {
	// Incarnation identifies the process; a restarted process must have a new one.
	Incarnation string
	// WindowMs is the length of a usage window.
	WindowMs clock.Millis
	// IntervalMs is the minimum time between two records; 0 means 5 seconds.
	IntervalMs clock.Millis
	// AppendsPerSecond is the append rate that all counters of the fleet share; 0 or
	// less means no limit.
	AppendsPerSecond float64
	// TimeoutMs bounds one append.
	TimeoutMs clock.Millis
}

// Counter counts the usage of the requests that one backend server has processed, by
// client account and window, and records it in the usage stream. It is safe for
// concurrent use.
type Counter struct {
	cfg    CounterConfig
	log    Log
	clock  clock.Clock
	logger logrus.FieldLogger

	mu    sync.Mutex
	meter *window.Meter
	peers int // number of counters that share AppendsPerSecond
}

// NewCounter returns a Counter. It records nothing before Run is called.
func NewCounter(cfg CounterConfig, log Log, clk clock.Clock, l logrus.FieldLogger) *Counter {
	if cfg.IntervalMs == 0 {
		cfg.IntervalMs = defaultInterval
	}
	return &Counter{
		cfg:    cfg,
		log:    log,
		clock:  clk,
		logger: l,
		meter:  window.NewMeter(cfg.Incarnation, cfg.WindowMs),
		peers:  1,
	}
}

// SetPeers sets the number of counters, this one included, that share
// AppendsPerSecond.
func (c *Counter) SetPeers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = max(1, n)
}

// Add counts one attempt of a client account in the current window.
func (c *Counter) Add(account string, promptTokens, outputTokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.Add(c.clock.Wall(), account, window.Figures{
		Requests:     1,
		PromptTokens: int64(promptTokens),
		OutputTokens: int64(outputTokens),
	})
}

// Run records the counts at intervals until ctx ends, and then those that remain,
// with at most finalAttempts appends.
func (c *Counter) Run(ctx context.Context) error {
	for c.clock.Sleep(ctx, c.appendInterval()) == nil {
		c.flush(ctx)
	}
	for range finalAttempts {
		if c.flush(context.WithoutCancel(ctx)) == 0 {
			return nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logger.WithFields(logrus.Fields{"event": "usageNotRecorded", "counts": c.meter.Unrecorded()}).Error()
	return nil
}

// appendInterval returns the time between two records: IntervalMs, or longer if the
// counter's share of AppendsPerSecond requires it.
func (c *Counter) appendInterval() clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.AppendsPerSecond <= 0 {
		return c.cfg.IntervalMs
	}
	intervalMs := float64(c.peers) / c.cfg.AppendsPerSecond * float64(clock.Second)
	return max(c.cfg.IntervalMs, clock.Millis(intervalMs))
}

// flush records the counts that are not recorded yet, and returns how many remain
// unrecorded.
func (c *Counter) flush(ctx context.Context) int {
	c.mu.Lock()
	c.meter.Forget(c.clock.Wall())
	rec, ok := c.meter.Take()
	c.mu.Unlock()
	if !ok {
		return 0
	}
	err := c.append(ctx, rec)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.meter.Requeue(rec)
		c.logger.WithField("event", "usageAppendFailed").Warn(err)
	}
	return c.meter.Unrecorded()
}

func (c *Counter) append(ctx context.Context, rec window.Record) error {
	data, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.TimeoutMs.Duration())
	defer cancel()
	_, err = c.log.Append(ctx, logservice.StreamUsage, data)
	return err
}
