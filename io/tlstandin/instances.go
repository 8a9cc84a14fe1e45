package tlstandin

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"trefoillanding/core/tlwire"
)

// listsKept bounds the lag of the instance list, in changes.
const listsKept = 256

// datedList is the instance list from one moment on.
type datedList struct {
	since time.Time
	list  tlwire.InstanceList
}

// SetInstances replaces the instance list; readers see it after the list's lag.
func (p *Platform) SetInstances(l []tlwire.Instance) {
	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b tlwire.Instance) int { return cmp.Compare(a.Name, b.Name) })
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.known = l
	p.put(l)
}

// SetState sets the state of one instance of the list.
func (p *Platform) SetState(name string, s tlwire.InstanceState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := slices.Clone(p.latest())
	for i := range l {
		if l[i].Name == name {
			l[i].State = s
		}
	}
	p.put(l)
}

// RemoveInstance takes one instance off the list.
func (p *Platform) RemoveInstance(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := slices.Clone(p.latest())
	p.put(slices.DeleteFunc(l, func(i tlwire.Instance) bool { return i.Name == name }))
}

// observe sets the list to those instances that were seen, in the states that
// they were seen in.
func (p *Platform) observe(states map[string]tlwire.InstanceState) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := make([]tlwire.Instance, 0, len(p.known))
	for _, i := range p.known {
		s, seen := states[i.Name]
		if seen {
			i.State = s
			l = append(l, i)
		}
	}
	if !slices.Equal(l, p.latest()) {
		p.put(l)
	}
}

// latest needs the mutex.
func (p *Platform) latest() []tlwire.Instance {
	return p.lists[len(p.lists)-1].list.Instances
}

// put needs the mutex.
func (p *Platform) put(l []tlwire.Instance) {
	v := p.lists[len(p.lists)-1].list.Version + 1
	d := datedList{since: time.Now(), list: tlwire.InstanceList{Version: v, Instances: l}}
	p.lists = append(p.lists, d)
	if len(p.lists) > listsKept {
		p.lists = p.lists[len(p.lists)-listsKept:]
	}
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	t := time.Now().Add(-p.faults.Get().ListLag)
	p.mutex.Lock()
	i := len(p.lists) - 1
	for i > 0 && p.lists[i].since.After(t) {
		i--
	}
	l := p.lists[i].list
	p.mutex.Unlock()
	tag := fmt.Sprintf(`"%d-%d"`, p.started, l.Version)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	answer(w, l)
}

func (p *Platform) controlInstances(w http.ResponseWriter, r *http.Request) {
	c, ok := decode[tlwire.InstanceControl](w, r)
	if !ok {
		return
	}
	p.SetInstances(c.Instances)
	w.WriteHeader(http.StatusNoContent)
}
