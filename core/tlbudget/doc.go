// Package tlbudget limits the work of retries to a share of the work of first attempts.
package tlbudget
