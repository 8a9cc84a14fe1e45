// Package tlexperiment runs the matrix of an experiment file with a pool of
// workers and writes the results.
package tlexperiment
