package tlplain

import (
	"strings"

	"trefoillanding/core/tlwire"
)

// isRepeatable reports whether the service's rules let the call run more than once.
// The first matching rule decides; a call without one is not repeatable.
func isRepeatable(rules []tlwire.Call, method, path string) bool {
	for _, r := range rules {
		if r.Method == method && matchesPattern(r.Path, path) {
			return r.Repeatable
		}
	}
	return false
}

// matchesPattern reports whether a path matches a pattern; a segment in braces matches
// any segment that is not empty.
func matchesPattern(pattern, path string) bool {
	p, q := strings.Split(pattern, "/"), strings.Split(path, "/")
	if len(p) != len(q) {
		return false
	}
	for i := range p {
		isAny := strings.HasPrefix(p[i], "{") && strings.HasSuffix(p[i], "}")
		if isAny && q[i] != "" {
			continue
		}
		if p[i] != q[i] {
			return false
		}
	}
	return true
}

// isSafePath reports whether a path starts with a slash and has no . or .. segment,
// escaped or not.
func isSafePath(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		p := strings.ReplaceAll(strings.ToLower(part), "%2e", ".")
		if p == "." || p == ".." {
			return false
		}
	}
	return strings.HasPrefix(path, "/")
}
