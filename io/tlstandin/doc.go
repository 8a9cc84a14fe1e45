// Package tlstandin stands in for the platform, the model engines and the plain
// services in tests, in the demo and in the standin command; each of them does
// wrong what a test tells it to, drawn from a seed.
package tlstandin
