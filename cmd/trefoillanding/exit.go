package main

import (
	"errors"
	"fmt"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error in the command line or in a file named on it.
type usageError struct {
	text string
}

// Error returns the message.
func (e usageError) Error() string {
	return e.text
}

func usagef(format string, args ...any) error {
	return usageError{fmt.Sprintf(format, args...)}
}

func exitCode(err error) int {
	var u usageError
	if errors.As(err, &u) {
		return exitUsage
	}
	return exitFailed
}
