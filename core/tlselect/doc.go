// Package tlselect ranks entry instances for a caller that asks which of them
// to use, so that no balancer is needed before them.
package tlselect
