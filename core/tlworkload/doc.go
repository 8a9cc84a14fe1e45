// Package tlworkload generates the requests of an experiment from a seed.
package tlworkload
