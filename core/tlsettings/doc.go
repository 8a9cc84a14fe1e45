// Package tlsettings reads an entry instance's own settings, fills in the
// defaults and checks the ranges.
package tlsettings
