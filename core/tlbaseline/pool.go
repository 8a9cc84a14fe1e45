package tlbaseline

import (
	"strings"

	"trefoillanding/core/tlwire"
)

// poolEngines holds the names of the engines of one pool.
type poolEngines struct {
	name     string
	prefills []string
	decodes  []string
}

// byPool groups the engines by pool; those of one pool must be adjacent.
func byPool(p tlwire.Pool) []poolEngines {
	var l []poolEngines
	for _, e := range p.Engines {
		n := poolOf(e.Name)
		if len(l) == 0 || l[len(l)-1].name != n {
			l = append(l, poolEngines{name: n})
		}
		last := &l[len(l)-1]
		if e.Role == tlwire.RolePrefill {
			last.prefills = append(last.prefills, e.Name)
			continue
		}
		last.decodes = append(last.decodes, e.Name)
	}
	return l
}

// poolOf returns the pool of an engine: the part of its name before the last hyphen.
func poolOf(engine string) string {
	return engine[:strings.LastIndex(engine, "-")]
}
