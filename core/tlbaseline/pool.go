package tlbaseline

import (
	"strings"

	"trefoillanding/core/tlwire"
)

// poolEngines names the engines of one pool.
type poolEngines struct {
	name     string
	prefills []string
	decodes  []string
}

// byPool splits engines by pool.
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

// poolOf returns the pool in an engine's name, the part before its last hyphen.
func poolOf(engine string) string {
	return engine[:strings.LastIndex(engine, "-")]
}
