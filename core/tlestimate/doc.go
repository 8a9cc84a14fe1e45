// Package tlestimate learns, from what has ended, how long answers get, how
// fast engines are and how often memory is freed.
package tlestimate
