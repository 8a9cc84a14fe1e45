// Package tlmodel simulates model engines and the links between them in virtual
// time, for experiments with the decision code.
package tlmodel
