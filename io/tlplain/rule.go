package tlplain

import (
	"strings"

	"trefoillanding/core/tlwire"
)

// repeatable says whether a rule of the service lets the call run more than
// once; the first rule that fits decides, and a call that none names must not.
func repeatable(rules []tlwire.Call, method, path string) bool {
	for _, r := range rules {
		if r.Method == method && matches(r.Path, path) {
			return r.Repeatable
		}
	}
	return false
}

// matches says whether a path fits a pattern whose parts in braces match anything.
func matches(pattern, path string) bool {
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

// isClean says that no part of a path leads upwards.
func isClean(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		p := strings.ReplaceAll(strings.ToLower(part), "%2e", ".")
		if p == "." || p == ".." {
			return false
		}
	}
	return strings.HasPrefix(path, "/")
}
