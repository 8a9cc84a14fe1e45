// Package tlgateway is the HTTP handler for callers' requests. It finds the
// route and the service of each request, sends it to endpoints as often as the
// route's kind allows, and returns the endpoint's answer unchanged.
//
// It runs on net/http's own server instead of go-zero's rest server: rest
// routes by cleaned paths and sends answers of its own (redirects, timeouts,
// load shedding), while here the host and path as sent select the route and
// every refusal must carry a verdict.
//
// ServeHTTP calls begin, then servePlain or serveGeneration, then end. A plain
// request is sent by plainRequest. A generation goes through findPlacement,
// prefill, decode and forwardEvents.
package tlgateway
