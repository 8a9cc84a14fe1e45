package tlregistry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlkeyed"
	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlorigin"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// The kinds of messages between instances and the homes of services.
const (
	// kindOrigins tells a home of origins, kindOrigin asks it for one.
	kindOrigins = "Origins"
	kindOrigin  = "Origin"
)

const (
	// homeTimeout bounds a question to the home: the request waits for it.
	homeTimeout = 250 * time.Millisecond
	// homeCheckInterval is the time between checks for changes of home.
	homeCheckInterval = 100 * time.Millisecond
)

// The counters of a Registry.
const (
	// Noted counts the streams that this instance began, Written those of them that the
	// log has, and WriteFailed the appends that it did not accept.
	Noted       = "Noted"
	Written     = "Written"
	WriteFailed = "WriteFailed"
	// WriterSilent counts the writes for which the writer gave no answer.
	WriterSilent = "WriterSilent"
	// Copied counts the copies of origins that were sent to instances other than the home.
	Copied = "Copied"
	// FoundHere, FoundAtHome, FoundInCopy and FoundInLog count the origins that were found, by place;
	// NotKnown those that nobody knows, and Unread those that the log or an instance may
	// know, which gave no answer.
	FoundHere   = "FoundHere"
	FoundAtHome = "FoundAtHome"
	FoundInCopy = "FoundInCopy"
	FoundInLog  = "FoundInLog"
	NotKnown    = "NotKnown"
	Unread      = "LogUnread"
	// BadRecord counts the records of the log that could not be decoded.
	BadRecord = "BadRecord"
)

// CounterNames lists the counters of a Registry.
var CounterNames = []string{Noted, Written, WriteFailed, WriterSilent, Copied, FoundHere, FoundAtHome, FoundInCopy, FoundInLog, NotKnown, Unread, BadRecord}

var (
	// ErrNotKnown reports that nobody knows which version began a stream.
	ErrNotKnown = errors.New("nobody knows which version began the stream")
	// ErrUnread reports that the log or an instance may know, which gave no answer.
	ErrUnread = errors.New("who may know which version began the stream gave no answer")
)

// Options holds what a Registry depends on.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Mesh reaches the other instances; New registers handlers with it.
	Mesh *tlpeer.Mesh
	// Home returns the instance that is the home of a service.
	Home func(service string) string
	// Others returns the other live instances.
	Others func() []tlmember.Member
	// Post sends a one-way message to another instance without waiting.
	Post func(peer, kind string, send func(context.Context) error)
	// Writer returns the instance that appends origins for all.
	Writer func() string
	// Append appends a record to the log.
	Append func(ctx context.Context, record []byte) error
	// Read returns records of the log from an offset on; if they have been deleted, it
	// returns the offset of the first that has not, and true.
	Read func(ctx context.Context, from uint64) (b tlkeyed.Batch, first uint64, isCompacted bool, err error)
	// CallInterval returns the least time between two appends, and between two reads of the log.
	CallInterval func() time.Duration
	// Now returns the current time.
	Now func() time.Time
	// Log receives failures of the log.
	Log *logrus.Entry
	// Count adds one to a counter of CounterNames.
	Count func(reason string)
}

// Registry knows the origins of streams.
type Registry struct {
	o    Options
	done chan struct{}
	// wake signals that there is something to append.
	wake chan struct{}
	// group holds what this instance appends for others, and itself, as the writer.
	group *groupWriter
	// writerPausedUntil is until when the writer is not asked; only writeAll uses it.
	writerPausedUntil time.Time

	// reading guards position, readBegan and nextRead while the log is read.
	reading  chan struct{}
	position tlkeyed.Position
	// nextRead is when the log may be read again.
	nextRead time.Time
	// readBegan is when the last read that succeeded began.
	readBegan time.Time

	mu sync.Mutex
	// known holds all origins, own those of streams that this instance served.
	known, own *tlorigin.Table
	// unwritten holds those of own that the log does not have yet, and writing those of them
	// that are being appended.
	unwritten, writing []tlorigin.Origin
	// homes holds the home that was told of the origins of each service.
	homes map[string]string
	// others holds the instances among which those of unwritten have copies.
	others []tlmember.Member
}

// New returns a Registry and registers its handlers with the mesh, which must not have been started.
func New(o Options) *Registry {
	r := &Registry{
		o:       o,
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		group:   newGroupWriter(),
		reading: make(chan struct{}, 1),
		known:   tlorigin.New(tlorigin.DefaultCapacity),
		own:     tlorigin.New(tlorigin.DefaultCapacity),
		homes:   map[string]string{},
	}
	tlpeer.Handle(o.Mesh, kindOrigins, r.handleOrigins)
	tlpeer.Handle(o.Mesh, kindOrigin, r.handleOrigin)
	tlpeer.Handle(o.Mesh, kindWriteOrigins, r.handleWriteOrigins)
	return r
}

// Done returns a channel that is closed when Run has ended.
func (r *Registry) Done() <-chan struct{} {
	return r.done
}

// Note records the origin of a stream whose first event is about to be sent.
func (r *Registry) Note(o tlorigin.Origin) {
	now, home := r.o.Now(), r.o.Home(o.Service)
	r.mu.Lock()
	r.known.Add(now, o)
	isNews := r.own.Add(now, o)
	if isNews {
		r.unwritten = append(r.unwritten, o)
	}
	if _, ok := r.homes[o.Service]; !ok {
		r.homes[o.Service] = home
	}
	r.mu.Unlock()
	if !isNews {
		return
	}
	r.o.Count(Noted)
	r.signal()
	r.tell(home, []tlorigin.Origin{o})
	r.copyOrigin(o)
}

func (r *Registry) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// tell tells the home of a service of origins.
func (r *Registry) tell(home string, list []tlorigin.Origin) {
	if home == r.o.Self || home == "" || len(list) == 0 {
		return
	}
	m := r.encode(list)
	r.o.Post(home, kindOrigins, func(ctx context.Context) error {
		return tlpeer.Send(ctx, r.o.Mesh, home, kindOrigins, m)
	})
}

func (r *Registry) handleOrigins(_ context.Context, _ tlpeer.Peer, m tlwire.StreamOrigins) (tlpeer.Empty, error) {
	r.learn(m)
	return tlpeer.Empty{}, nil
}

// learn takes in what another instance knows, or the log has, and returns it.
func (r *Registry) learn(m tlwire.StreamOrigins) []tlorigin.Origin {
	now := r.o.Now()
	list := decode(now, m)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range list {
		r.known.Add(now, o)
	}
	return list
}

// decode returns the origins in a message or record.
func decode(now time.Time, m tlwire.StreamOrigins) []tlorigin.Origin {
	list := make([]tlorigin.Origin, 0, len(m.Origins))
	for _, o := range m.Origins {
		left := min(o.Left, tlorigin.MaxKept)
		list = append(list, tlorigin.Origin{Attempt: o.Attempt, Service: o.Service, Version: o.Version, Until: now.Add(left)})
	}
	return list
}

func (r *Registry) encode(list []tlorigin.Origin) tlwire.StreamOrigins {
	now := r.o.Now()
	m := tlwire.StreamOrigins{Origins: make([]tlwire.StreamOrigin, 0, len(list))}
	for _, o := range list {
		m.Origins = append(m.Origins, tlwire.StreamOrigin{Attempt: o.Attempt, Service: o.Service, Version: o.Version, Left: o.Until.Sub(now)})
	}
	return m
}

func (r *Registry) handleOrigin(_ context.Context, _ tlpeer.Peer, c tlwire.OriginCall) (tlwire.StreamOrigins, error) {
	if o, ok := r.find(c.Attempt); ok {
		return r.encode([]tlorigin.Origin{o}), nil
	}
	return r.encode(nil), nil
}

// find returns an origin that this instance knows.
func (r *Registry) find(attempt string) (tlorigin.Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.Find(r.o.Now(), attempt)
}
