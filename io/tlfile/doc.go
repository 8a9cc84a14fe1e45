// Package tlfile keeps what was read from files up to date, so that keys and
// certificates can be replaced without a restart.
package tlfile
