// Package tlworkload draws the requests of an experiment from a seed.
package tlworkload
