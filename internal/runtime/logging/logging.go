// Package logging creates logrus loggers that write each event as one line of key=value
// pairs, optionally limited in lines and bytes per second.
package logging

import (
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat is the RFC 3339 layout with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines of the named level, such as "info", and above to w.
func New(w io.Writer, level string) (*logrus.Logger, error) {
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(l)
	log.SetFormatter(&logrus.TextFormatter{
		DisableColors:   true,
		FullTimestamp:   true,
		TimestampFormat: timeFormat,
	})
	return log, nil
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
