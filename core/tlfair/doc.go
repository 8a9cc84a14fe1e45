// Package tlfair orders organisations by what each has lately had of a scarce resource.
//
// The load that it answers is an organisation that sends many times its usual while there
// is not room for all: requests of the others go first until it has had no more than they,
// each against its quota.
package tlfair
