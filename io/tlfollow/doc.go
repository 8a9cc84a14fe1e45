// Package tlfollow follows a keyed log of the platform: it loads the newest record
// of each key, then applies every later record, and loads anew if records that it
// has not read were compacted away. While the log is unreachable, what was read
// stays valid.
package tlfollow
