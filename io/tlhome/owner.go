package tlhome

// Owner identifies one incarnation of the instance that serves a request's caller.
type Owner struct {
	// Name is the name of the instance.
	Name string
	// Incarnation tells the instance's process from those before a restart.
	Incarnation uint64
}
