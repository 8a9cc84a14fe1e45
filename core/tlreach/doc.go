// Package tlreach decides whether an instance can open connections to the endpoints of a
// service at all. What fails at one endpoint is that endpoint's; an instance that is cut
// off reaches none.
package tlreach
