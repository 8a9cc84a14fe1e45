// Package tlcapacity works out what an instance spends at the target size from
// slopes that were measured; docs/CAPACITY.md shows its tables, and a test fails
// when the page and the tables differ.
package tlcapacity
