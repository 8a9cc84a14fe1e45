// Package tlsettings parses the settings of an entry instance, sets defaults and
// validates the values.
package tlsettings
