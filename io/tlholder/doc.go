// Package tlholder takes leases by appending to the platform's log and reading
// on, as core/tllease folds it, and gives them back.
package tlholder
