package tlfile

import (
	"os"
	"sync"
	"time"
)

// lookEvery is the least time between two looks at the files.
const lookEvery = time.Second

// Watched is a value that is read from files and read again when they change.
type Watched[T any] struct {
	paths []string
	load  func() (T, error)
	now   func() time.Time

	mu     sync.Mutex
	looked time.Time
	loaded time.Time
	value  T
}

// New reads a value; the error is the one of the first reading.
func New[T any](paths []string, load func() (T, error), now func() time.Time) (*Watched[T], error) {
	w := &Watched[T]{paths: paths, load: load, now: now}
	return w, w.read()
}

// Current returns the value to use now; files that can't be read leave the old one in use.
func (w *Watched[T]) Current() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); now.Sub(w.looked) >= lookEvery {
		w.looked = now
		if !w.changed().Equal(w.loaded) {
			_ = w.read()
		}
	}
	return w.value
}

func (w *Watched[T]) read() error {
	changed := w.changed()
	v, err := w.load()
	if err != nil {
		return err
	}
	w.value, w.loaded = v, changed
	return nil
}

// changed returns when one of the files changed last.
func (w *Watched[T]) changed() time.Time {
	var last time.Time
	for _, p := range w.paths {
		i, err := os.Stat(p)
		if err == nil && i.ModTime().After(last) {
			last = i.ModTime()
		}
	}
	return last
}
