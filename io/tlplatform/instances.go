package tlplatform

import (
	"context"
	"net/http"
	"sync"

	"trefoillanding/core/tlwire"
)

// knownList is the instance list that was read last, with the entity tag that
// the platform gave it.
type knownList struct {
	mu   sync.Mutex
	tag  string
	list tlwire.InstanceList
}

// Instances returns the platform's lagging view of its instances, and whether it
// was sent anew; a platform that gives its list an entity tag sends it only when
// it has changed.
func (c *Client) Instances(ctx context.Context) (tlwire.InstanceList, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	tag, known := c.known.get()
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
		return known, false, nil
	case status != http.StatusOK:
		return tlwire.InstanceList{}, false, &StatusError{Status: status}
	}
	c.known.set(header.Get("ETag"), l)
	return l, true, nil
}

func (k *knownList) get() (string, tlwire.InstanceList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tag, k.list
}

func (k *knownList) set(tag string, l tlwire.InstanceList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tag, k.list = tag, l
}
