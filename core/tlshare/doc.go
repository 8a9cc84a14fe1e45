// Package tlshare averages how often something happened of late.
package tlshare
