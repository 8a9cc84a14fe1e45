// Package tleventid makes and reads the authenticated event ids with which a
// caller goes on with a stream at any instance.
package tleventid
