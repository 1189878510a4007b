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
	defaultInterval = 5 * clock.Second
	// finalTries is the number of appends that are tried when a Counter ends.
	finalTries = 5
)

// CounterConfig holds the parameters of a Counter.
type CounterConfig struct {
	// Incarnation is unique to the process.
	Incarnation string
	WindowMs    clock.Millis
	// IntervalMs is the time between two records; the default is 5 seconds.
	IntervalMs clock.Millis
	// AppendsPerSecond is the budget for the counters of the fleet together.
	AppendsPerSecond float64
	// TimeoutMs bounds one append.
	TimeoutMs clock.Millis
}

// Counter counts what one backend server generates and records it in the
// usage stream. It is safe for concurrent use.
type Counter struct {
	cfg    CounterConfig
	log    Log
	clock  clock.Clock
	logger logrus.FieldLogger

	mu    sync.Mutex
	meter *window.Meter
	peers int
}

// NewCounter returns a Counter.
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

// SetPeers sets the number of counters that share the budget.
func (c *Counter) SetPeers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = max(1, n)
}

// Add counts one attempt of a client account.
func (c *Counter) Add(account string, promptTokens, outputTokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter.Add(c.clock.Wall(), account, window.Figures{
		Requests:     1,
		PromptTokens: int64(promptTokens),
		OutputTokens: int64(outputTokens),
	})
}

// Run records the counts until ctx ends, and then what is left.
func (c *Counter) Run(ctx context.Context) error {
	for c.clock.Sleep(ctx, c.interval()) == nil {
		c.flush(ctx)
	}
	for range finalTries {
		if c.flush(context.WithoutCancel(ctx)) == 0 {
			return nil
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logger.WithFields(logrus.Fields{"event": "usageNotRecorded", "counts": c.meter.Unrecorded()}).Error()
	return nil
}

func (c *Counter) interval() clock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.AppendsPerSecond <= 0 {
		return c.cfg.IntervalMs
	}
	share := float64(c.peers) / c.cfg.AppendsPerSecond * float64(clock.Second)
	return max(c.cfg.IntervalMs, clock.Millis(share))
}

// flush records what waits and returns the number of counts that still wait.
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
