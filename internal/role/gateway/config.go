package gateway

import (
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/state/delta"
)

// maxDeltaBytes bounds the difference between two configurations that readers
// pass on: a larger one is read from the store by each gateway.
const maxDeltaBytes = 8 << 10

// document is the newest configuration as it stands in the store. It is safe for
// concurrent use.
type document struct {
	mu     sync.Mutex
	data   []byte
	offset int64
}

// configChange is the message that tells how the configuration has changed.
type configChange struct {
	Offset int64       `json:"offset"`
	Delta  delta.Delta `json:"delta"`
}

// replace sets the document of an offset, and returns how it differs from the
// one before; ok is false for one that is not newer.
func (d *document) replace(offset int64, data []byte) (diff delta.Delta, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.data != nil && offset <= d.offset {
		return diff, false
	}
	diff = delta.Make(d.data, data)
	d.data, d.offset = data, offset
	return diff, true
}

// change returns the document that a change leads to.
func (d *document) change(c configChange) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.Delta.Apply(d.data)
}

// applyConfig puts a record of the configuration in force if it is newer. ok
// tells that, and that the change is small enough to be passed on.
func (g *Gateway) applyConfig(r Record) (c configChange, ok bool) {
	if r.Key != g.decode.ConfigKey || len(r.Value) == 0 {
		return c, false
	}
	cfg, err := g.decode.Config(r.Value)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "configUnreadable", "offset": r.Offset}).Error(err)
		return c, false
	}
	if !g.belief.setConfig(cfg) {
		return c, false
	}
	diff, newer := g.config.replace(r.Offset, r.Value)
	g.log.WithFields(logrus.Fields{
		"event": "config", "version": cfg.Version, "offset": r.Offset, "routes": len(cfg.Routes), "accounts": len(cfg.Accounts), "changedBytes": len(diff.Middle),
	}).Info()
	return configChange{Offset: r.Offset, Delta: diff}, newer && len(diff.Middle) <= maxDeltaBytes
}

// takeConfig takes in a change of the configuration that a reader has read. One
// that does not go on from the own configuration is left to the next hint, which
// tells the version.
func (g *Gateway) takeConfig(_ string, data json.RawMessage) error {
	var c configChange
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	doc, err := g.config.change(c)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "configNotFollowed", "offset": c.Offset}).Info(err)
		return nil
	}
	g.applyConfig(Record{Key: g.decode.ConfigKey, Value: doc, Offset: c.Offset})
	return nil
}
