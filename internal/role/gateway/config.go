package gateway

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/state/delta"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

// maxDeltaBytes bounds the difference between two configurations that readers
// pass on: a larger one is read from the store by each gateway.
const maxDeltaBytes = 8 << 10

// configDocument is the configuration in force as it stands in the store. It is safe for
// concurrent use.
type configDocument struct {
	mu      sync.Mutex
	data    []byte
	version int64
	at      epoch.Position
}

// configChange is the message that tells how the configuration has changed.
type configChange struct {
	At    epoch.Position `json:"at"`
	Delta delta.Delta    `json:"delta"`
}

// verdict on a document that is offered as the configuration in force.
type configVerdict int

const (
	// configOlder is one with a lower version, or with the same one from before the
	// present one was written.
	configOlder configVerdict = iota
	// configSame is the present one, written anew after the store came back from a
	// copy.
	configSame
	// configNewer is one to be put in force.
	configNewer
)

// offer takes a document in unless it is older: a version never falls, whatever the
// store holds. Of two with one version that which was written later holds, since the
// operator writes anew what a copy of the store lacks. apply puts it in force.
func (d *configDocument) offer(at epoch.Position, version int64, data []byte, apply func()) (diff delta.Delta, v configVerdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.data != nil && (version < d.version || version == d.version && !at.After(d.at)) {
		return diff, configOlder
	}
	diff = delta.Make(d.data, data)
	v = configSame
	if d.data == nil || version > d.version || !bytes.Equal(d.data, data) {
		v = configNewer
		apply()
	}
	d.data, d.version, d.at = data, version, at
	return diff, v
}

// change returns the document that a change leads to.
func (d *configDocument) change(c configChange) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.Delta.Apply(d.data)
}

// behind reports whether another gateway has a newer document.
func (d *configDocument) behind(version int64, at epoch.Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return version > d.version || version == d.version && version > 0 && at.After(d.at)
}

// state returns the version and where it stands; 0 without a document.
func (d *configDocument) state() (version int64, at epoch.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.at
}

// full returns the whole document as a change from nothing.
func (d *configDocument) full() configChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	return configChange{At: d.at, Delta: delta.Make(nil, d.data)}
}

// applyConfig puts a record of the configuration in force if it is newer. ok tells
// that it has changed, or was written anew, and is small enough to be passed on.
func (g *Gateway) applyConfig(r Record) (c configChange, ok bool) {
	if r.Key != g.decoder.ConfigKey || len(r.Value) == 0 {
		return c, false
	}
	cfg, err := g.decoder.Config(r.Value)
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "configUnreadable", "offset": r.At.Offset()}).Error(err)
		return c, false
	}
	before, _ := g.config.state()
	diff, v := g.config.offer(r.At, cfg.Version, r.Value, func() { g.fleet.setConfig(cfg) })
	fields := logrus.Fields{"version": cfg.Version, "offset": r.At.Offset(), "era": r.At.Epoch().String()}
	switch {
	case v == configNewer:
		g.log.WithFields(fields).WithFields(logrus.Fields{
			"event": "config", "before": before, "routes": len(cfg.Routes), "accounts": len(cfg.Accounts), "changedBytes": len(diff.Middle),
		}).Info()
	case cfg.Version < before:
		g.log.WithFields(fields).WithFields(logrus.Fields{"event": "configOlder", "kept": before}).Warn("the store holds an older configuration")
	}
	return configChange{At: r.At, Delta: diff}, v != configOlder && len(diff.Middle) <= maxDeltaBytes
}

// receiveConfig takes in a change of the configuration that another gateway knows. One
// that does not go on from the own configuration is left to the next hint, which
// tells the version.
func (g *Gateway) receiveConfig(_ string, data json.RawMessage) error {
	var c configChange
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	doc, err := g.config.change(c)
	if err != nil {
		// It may be a whole document.
		doc, err = c.Delta.Apply(nil)
	}
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "configNotFollowed", "offset": c.At.Offset()}).Info(err)
		return nil
	}
	g.applyConfig(Record{Key: g.decoder.ConfigKey, Value: doc, At: c.At})
	return nil
}
