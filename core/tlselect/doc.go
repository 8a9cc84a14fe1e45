// Package tlselect ranks the entry instances for a caller that asks which one to
// use, so that no load balancer is needed in front of them.
package tlselect
