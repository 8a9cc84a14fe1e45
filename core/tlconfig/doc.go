// Package tlconfig reads the declared configuration, checks it as a whole and
// answers lookups in it.
package tlconfig
