// Package tllag tells for how long the configuration in force at an instance has been older
// than one that others name.
//
// The load that it answers: a large configuration, or several in quick succession, reach
// instances with slow links late. One that knows so says it and has callers served elsewhere,
// while an instance that nobody is ahead of goes on, however old its configuration is.
//
// A Tracker is not safe for concurrent use.
package tllag
