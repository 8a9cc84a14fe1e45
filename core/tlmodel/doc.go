// Package tlmodel imitates model engines and the links between them under
// virtual time, for experiments with the decision code.
package tlmodel
