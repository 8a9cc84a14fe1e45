package tlplatform

import (
	"context"
	"net/http"
	"sync"

	"trefoillanding/core/tlwire"
)

// cachedList is the instance list that was read last, with its entity tag.
type cachedList struct {
	mu   sync.Mutex
	tag  string
	list tlwire.InstanceList
}

// Instances returns the platform's list of instances, which may be out of date,
// and whether the platform sent it again. A platform that gives its list an
// entity tag sends it only when it has changed.
func (c *Client) Instances(ctx context.Context) (tlwire.InstanceList, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	tag, list := c.cached.get()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", http.NoBody)
	if err != nil {
		return tlwire.InstanceList{}, false, err
	}
	if tag != "" {
		r.Header.Set("If-None-Match", tag)
	}
	var l tlwire.InstanceList
	status, header, err := c.exchange(r, &l)
	switch {
	case err != nil:
		return tlwire.InstanceList{}, false, err
	case status == http.StatusNotModified && tag != "":
		return list, false, nil
	case status != http.StatusOK:
		return tlwire.InstanceList{}, false, &StatusError{Status: status}
	}
	c.cached.set(header.Get("ETag"), l)
	return l, true, nil
}

func (k *cachedList) get() (string, tlwire.InstanceList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tag, k.list
}

func (k *cachedList) set(tag string, l tlwire.InstanceList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tag, k.list = tag, l
}
