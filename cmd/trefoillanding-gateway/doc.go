// Command trefoillanding-gateway runs a gateway instance on the users' platform.
package main
