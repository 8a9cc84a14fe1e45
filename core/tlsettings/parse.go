package tlsettings

import (
	"trefoillanding/core/tlwire"
	"trefoillanding/core/tlyaml"
)

// Parse parses a settings file; the error lists every problem, one per line.
func Parse(file string, data []byte) (tlwire.Settings, error) {
	s, d := tlyaml.Decode[tlwire.Settings](file, data)
	allocateSections(&s)
	for _, r := range rules {
		if !d.Has(r.path) {
			r.setDefault(&s)
		}
	}
	for _, r := range rules {
		if m := r.check(&s); m != "" && d.Has(r.path) {
			d.Add(r.path, "%s", m)
		}
	}
	return s, d.Problems.Err()
}

// Default returns settings with all optional fields set to their defaults.
func Default() tlwire.Settings {
	var s tlwire.Settings
	allocateSections(&s)
	for _, r := range rules {
		r.setDefault(&s)
	}
	return s
}

func allocateSections(s *tlwire.Settings) {
	allocateIfNil(&s.Limits)
	allocateIfNil(&s.Peers)
	allocateIfNil(&s.Drain)
	allocateIfNil(&s.Security)
	allocateIfNil(&s.Log)
	allocateIfNil(&s.Gateway)
}

func allocateIfNil[T any](p **T) {
	if *p == nil {
		*p = new(T)
	}
}
