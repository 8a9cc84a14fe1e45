// Package tlcapacity estimates the resources that an instance uses at the target
// size from measured costs per unit (slopes). docs/CAPACITY.md shows its tables;
// a test fails if the page and the tables differ.
package tlcapacity
