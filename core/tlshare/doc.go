// Package tlshare keeps an exponentially weighted moving average of how often something happens.
package tlshare
