// Package tleventid makes and parses the authenticated event ids with which a
// caller resumes a stream at any instance.
package tleventid
