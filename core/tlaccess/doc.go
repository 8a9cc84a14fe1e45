// Package tlaccess knows the organisations of a configuration and which keys are theirs.
package tlaccess
