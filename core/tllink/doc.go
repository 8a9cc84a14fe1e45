// Package tllink predicts transfer times over the bandwidth-limited link into one decode engine.
package tllink
