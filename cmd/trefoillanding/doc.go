// Command trefoillanding runs entry instances, the operators' commands, the stand-ins
// and the demonstration.
package main
