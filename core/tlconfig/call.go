package tlconfig

import (
	"slices"
	"strings"

	"trefoillanding/core/tlwire"
)

// CallFor returns the declared rule for a call of a plain service, or the most
// specific one if several match. A call without a rule must not be repeated.
// The path must be in its escaped form.
func CallFor(s tlwire.Service, method, path string) tlwire.Call {
	best := tlwire.Call{Method: method, Path: path}
	if isAmbiguous(path) {
		return best
	}
	parts := strings.Split(path, "/")
	var shape []bool
	for _, c := range s.Calls {
		if c.Method != method || !matches(c.Path, parts) {
			continue
		}
		if h := literalParts(c.Path); shape == nil || moreSpecific(h, shape) {
			best, shape = c, h
		}
	}
	return best
}

// isAmbiguous reports whether an endpoint may interpret the path as a different one.
func isAmbiguous(path string) bool {
	if strings.ContainsAny(path, `%\;`) {
		return true
	}
	return slices.ContainsFunc(strings.Split(path, "/")[1:], func(p string) bool {
		return p == "" || p == "." || p == ".."
	})
}

func matches(pattern string, parts []string) bool {
	want := strings.Split(pattern, "/")
	if len(want) != len(parts) {
		return false
	}
	for i, w := range want {
		if !isVariable(w) && w != parts[i] {
			return false
		}
	}
	return true
}

// literalParts reports for each part of a pattern whether it is literal.
func literalParts(pattern string) []bool {
	var literal []bool
	for p := range strings.SplitSeq(pattern, "/") {
		literal = append(literal, !isVariable(p))
	}
	return literal
}

func moreSpecific(a, b []bool) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i]
		}
	}
	return false
}

func isVariable(part string) bool {
	return strings.HasPrefix(part, "{") && strings.HasSuffix(part, "}") && len(part) > 2
}
