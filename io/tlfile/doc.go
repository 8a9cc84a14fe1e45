// Package tlfile reloads values from files that change, so that keys and
// certificates can be replaced without a restart.
package tlfile
