// Package trefoillanding assembles an entry instance from its parts.
package trefoillanding
