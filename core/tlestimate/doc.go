// Package tlestimate learns, from completed work, the lengths of answers,
// the speed of engines and the rate at which memory is freed.
package tlestimate
