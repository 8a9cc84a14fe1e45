package tlmemory

const (
	// bytesPart and connectionsPart are the parts of the memory, 1 in so many, for bodies
	// and answers and for the connections of callers. With what an instance needs for
	// itself (some 15 MB) they stay below the limit of the Go heap, 0.7 of the memory, so
	// that the collector has room to work; the other 0.3 has sockets and threads.
	bytesPart       = 4
	connectionsPart = 5
	// connectionBytes is what a connection takes at most without its body: a goroutine, two
	// buffers and a header.
	connectionBytes = 32 << 10
	// reservedDescriptors are left for files, the store and listeners.
	reservedDescriptors = 200
	// minConnections is what a listener has on the smallest machine.
	minConnections = 16
	// socketsPart is the part of the memory that one socket's buffer may take. The bounds
	// are some round trips of usual bodies, and what a fast network needs.
	socketsPart    = 2048
	minSocketBytes = 32 << 10
	maxSocketBytes = 256 << 10
)

// Plan is what an instance may hold.
type Plan struct {
	// Bytes bounds bodies, answers and events.
	Bytes int64
	// Callers, Peers and Lookups bound the connections accepted on each kind of address.
	Callers, Peers, Lookups int
	// SocketBytes is the size of each of a socket's buffers.
	SocketBytes int
}

// NewPlan returns the plan for a machine with memory bytes and descriptors. Callers and
// other instances have a quarter of the descriptors each and lookups an eighth; the rest
// is for connections to endpoints.
func NewPlan(memory int64, descriptors int) Plan {
	free := max(descriptors-reservedDescriptors, 0)
	return Plan{
		Bytes:       memory / bytesPart,
		Callers:     max(min(free/4, int(memory/connectionsPart/connectionBytes)), minConnections),
		Peers:       max(free/4, minConnections),
		Lookups:     max(free/8, minConnections),
		SocketBytes: int(min(max(memory/socketsPart, minSocketBytes), maxSocketBytes)),
	}
}
