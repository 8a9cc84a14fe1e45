// Package tlprober finds out whether this instance reaches the endpoints of a service, by
// opening connections to some of them when sends fail or nothing is heard. While it
// reaches none, it tries again and again, so that its own path is used as soon as it is back.
package tlprober
