// Package tllink tracks the link of limited rate into one decode engine.
package tllink
