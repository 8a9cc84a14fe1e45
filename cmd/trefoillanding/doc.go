// Command trefoillanding runs the entry instance, the operators' verbs, the
// stand-ins and the demonstration.
package main
