package tlendpoint

import "fmt"

// RoleCount counts engines by their role.
type RoleCount struct {
	// Prefill and Decode count the engines in use.
	Prefill, Decode int
	// Leaving counts the engines that drain, whatever their role.
	Leaving int
	// Ended counts the engines that are listed though they refuse connections.
	Ended int
}

// String returns the counts as they are logged.
func (c RoleCount) String() string {
	return fmt.Sprintf("%d prefill, %d decode, %d leaving, %d ended", c.Prefill, c.Decode, c.Leaving, c.Ended)
}

// Add counts an engine of a role.
func (c *RoleCount) Add(r Role) {
	if r == Prefill {
		c.Prefill++
		return
	}
	c.Decode++
}

// CountVersion counts the engines of a version, as they are listed.
func CountVersion(list []Endpoint, version string) RoleCount {
	var c RoleCount
	for _, e := range list {
		switch {
		case e.Version != version:
		case e.IsDraining:
			c.Leaving++
		default:
			c.Add(e.Role)
		}
	}
	return c
}
