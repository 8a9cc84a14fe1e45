// Package tlconfigcheck finds what is wrong in a configuration that instances would take,
// and what differs between two versions. Findings and differences never contain keys.
package tlconfigcheck
