// Package trefoillanding wires the parts of an entry instance together.
package trefoillanding
