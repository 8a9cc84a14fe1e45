// Package tlbudget bounds the work of retries by a share of the fresh work.
package tlbudget
