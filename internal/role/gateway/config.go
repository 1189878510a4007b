package gateway

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/state/delta"
	"github.com/damaskport/damaskport/internal/state/epoch"
)

// maxDeltaBytes is the maximum size of a change of the configuration that store readers
// send to other gateways. Each gateway reads a larger change from the store itself.
const maxDeltaBytes = 8 << 10

// configDocument holds the configuration in force as encoded in the store, its version
// and its position. It is safe for concurrent use.
type configDocument struct {
	mu      sync.Mutex
	data    []byte
	version int64
	at      epoch.Position
}

// configChange is the message by which a gateway sends a change of the configuration to
// another one. At is the position of the changed document.
type configChange struct {
	At    epoch.Position `json:"at"`
	Delta delta.Delta    `json:"delta"`
}

// configVerdict tells how an offered document compares with the configuration in force.
type configVerdict int

const (
	// configOlder is a document with a lower version, or with the same version and not
	// at a later position.
	configOlder configVerdict = iota
	// configSame is the configuration in force, written again after the store was
	// restored from a backup.
	configSame
	// configNewer is a document that replaces the configuration in force.
	configNewer
)

// offer accepts a document unless it is older than the configuration in force. The
// version never decreases, whatever the store holds. Of two documents with the same
// version, the one written later applies, since the operator writes again what a
// restored store has lost. apply is called to put a newer document in force. diff is
// the change from the previous document.
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

// change returns the document that results from applying c to the configuration in
// force.
func (d *configDocument) change(c configChange) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.Delta.Apply(d.data)
}

// olderThan reports whether the configuration in force is older than that of another
// gateway, which has the given version and position.
func (d *configDocument) olderThan(version int64, at epoch.Position) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return version > d.version || version == d.version && version > 0 && at.After(d.at)
}

// state returns the version and the position of the configuration in force; 0 and the
// unknown position if there is none.
func (d *configDocument) state() (version int64, at epoch.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.at
}

// full returns the whole configuration as a change from the empty document.
func (d *configDocument) full() configChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	return configChange{At: d.at, Delta: delta.Make(nil, d.data)}
}

// applyConfig puts the configuration of a record in force if it is newer. ok reports
// whether c is to be sent to other gateways: the configuration has changed or was
// written again, and c is small enough.
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
		if blank := cfg.BlankKeys(); len(blank) > 0 {
			g.log.WithFields(fields).WithFields(logrus.Fields{"event": "configKeyBlank", "accounts": blank}).Error("blank API keys admit nobody")
		}
		g.log.WithFields(fields).WithFields(logrus.Fields{
			"event": "config", "before": before, "routes": len(cfg.Routes), "accounts": len(cfg.Accounts), "changedBytes": len(diff.Middle),
		}).Info()
	case cfg.Version < before:
		g.log.WithFields(fields).WithFields(logrus.Fields{"event": "configOlder", "kept": before}).Warn("store holds an older configuration; keeping the one in force")
	}
	return configChange{At: r.At, Delta: diff}, v != configOlder && len(diff.Middle) <= maxDeltaBytes
}

// receiveConfig applies a change of the configuration that another gateway sent. A
// change that does not apply to this gateway's configuration is skipped: the next
// update from a store reader reports the newer version, and the configuration is then
// read from the store.
func (g *Gateway) receiveConfig(_ string, data json.RawMessage) error {
	var c configChange
	if err := json.Unmarshal(data, &c); err != nil {
		return err
	}
	doc, err := g.config.change(c)
	if err != nil {
		// The change may hold a whole document.
		doc, err = c.Delta.Apply(nil)
	}
	if err != nil {
		g.log.WithFields(logrus.Fields{"event": "configNotFollowed", "offset": c.At.Offset()}).Info(err)
		return nil
	}
	g.applyConfig(Record{Key: g.decoder.ConfigKey, Value: doc, At: c.At})
	return nil
}
