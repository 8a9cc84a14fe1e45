package main

import (
	"os"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlwire"
)

// newLog returns a logger for settings that have been validated.
func newLog(s *tlwire.LogSettings) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	if s == nil {
		return l
	}
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		l.SetLevel(level)
	}
	if s.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	return l
}
