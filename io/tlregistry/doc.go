// Package tlregistry lets all instances know which version began a stream, so that any
// of them can take it up.
//
// An origin is known to the instance that served the first event, to the home of its
// service and to two other instances drawn for the attempt's group, all of which that instance
// tells at once, and soon to a log in the store. One instance, the writer, appends the
// origins of all together; whoever gets no answer from it appends its own. A registry that is asked looks at its own origins, asks the home and the holders
// of copies, and reads the log. The log outlasts all instances; the home and the copies
// answer while the store is away or has lost its last seconds. Where none of them knows,
// nobody does.
//
// Lock order: reading, then mu; no lock but reading is held over I/O.
package tlregistry
