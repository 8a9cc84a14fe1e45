package tlhome

// Owner is one life of an instance that serves a caller.
type Owner struct {
	// Name is the instance.
	Name string
	// Incarnation is the instance's incarnation.
	Incarnation uint64
}
