// Package tlkeyed holds the records of a compacted log, which keeps the newest
// record of each key, and skips those that a reader already has.
package tlkeyed
