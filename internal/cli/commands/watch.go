package commands

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/damaskport/damaskport/internal/runtime/clock"
)

// watchEvery is the time between looks at the settings file, which may change
// without a signal.
const watchEvery = clock.Second

// watchSettings calls reload after a signal and when the file at path has
// changed, until ctx ends. Settings that are rejected change nothing.
func watchSettings(ctx context.Context, hup <-chan os.Signal, path string, log logrus.FieldLogger, reload func() error) {
	tick := time.NewTicker(watchEvery.Duration())
	defer tick.Stop()
	last := content(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-tick.C:
			if content(path) == last {
				continue
			}
		}
		last = content(path)
		if err := reload(); err != nil {
			log.WithField("event", "settingsRejected").Error(err)
			continue
		}
		log.WithField("event", "settings").Info("settings reloaded")
	}
}

// watchFixedSettings checks the settings file after each signal until ctx ends, for a role that
// reads its settings only at its start.
func watchFixedSettings(ctx context.Context, hup <-chan os.Signal, log logrus.FieldLogger, check func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if err := check(); err != nil {
			log.WithField("event", "settingsRejected").Error(err)
			continue
		}
		log.WithField("event", "settings").Info("changed settings take effect at the next start")
	}
}

// content returns the file's content, or nothing if it cannot be read.
func content(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(data)
}
