package tlfile

import (
	"os"
	"sync"
	"time"
)

// minCheckInterval is the least time between two checks of the files for changes.
const minCheckInterval = time.Second

// Watched is a value that is loaded from files and reloaded when they change.
type Watched[T any] struct {
	paths []string
	load  func() (T, error)
	now   func() time.Time

	mu            sync.Mutex
	checkedAt     time.Time
	loadedModTime time.Time
	value         T
}

// New loads a value from the files at paths; the error is that of the first load.
func New[T any](paths []string, load func() (T, error), now func() time.Time) (*Watched[T], error) {
	w := &Watched[T]{paths: paths, load: load, now: now}
	return w, w.reload()
}

// Current returns the latest value; if the files can't be loaded, the previous one stays in use.
func (w *Watched[T]) Current() T {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := w.now(); now.Sub(w.checkedAt) >= minCheckInterval {
		w.checkedAt = now
		if !w.lastModified().Equal(w.loadedModTime) {
			_ = w.reload()
		}
	}
	return w.value
}

func (w *Watched[T]) reload() error {
	changed := w.lastModified()
	v, err := w.load()
	if err != nil {
		return err
	}
	w.value, w.loadedModTime = v, changed
	return nil
}

// lastModified returns the latest modification time of the files; it skips files
// that can't be examined.
func (w *Watched[T]) lastModified() time.Time {
	var last time.Time
	for _, p := range w.paths {
		i, err := os.Stat(p)
		if err == nil && i.ModTime().After(last) {
			last = i.ModTime()
		}
	}
	return last
}
