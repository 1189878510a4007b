package process

import (
	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/operator/admin"
	"github.com/damaskport/damaskport/internal/operator/settings"
	"github.com/damaskport/damaskport/internal/peer/config"
	"github.com/damaskport/damaskport/internal/platform/logservice"
	"github.com/damaskport/damaskport/internal/role/entry"
	"github.com/damaskport/damaskport/internal/runtime/clock"
	"github.com/damaskport/damaskport/internal/runtime/supervise"
)

// entryDuties returns the duties of an entry beside those of its role.
func entryDuties(_ settings.File, store *config.Store, logs *logservice.Client, clk clock.Clock, log logrus.FieldLogger) []supervise.Duty {
	r := &config.Reader{Log: logs, Store: store, Clock: clk, Logger: log, WaitMs: readWait}
	return []supervise.Duty{{Name: "configReader", Run: r.Run}}
}

// mount puts the operators' interface of e on the server.
func (a *AdminServer) mount(e *entry.Entry, store *config.Store, logs *logservice.Client, log logrus.FieldLogger) {
	a.mux.Handle("/", admin.New(admin.Deps{
		Store: store, Appender: logs, Spread: e.Spread, Status: e.Status, Ready: e.Ready, Metrics: e.Metrics(), Logger: log,
	}))
}
