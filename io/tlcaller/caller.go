package tlcaller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlanswer"
)

const (
	entriesTimeout = time.Second
	minRetryDelay  = 50 * time.Millisecond
	maxIdleConns   = 4096
)

var errNoEntry = errors.New("no instance tells which to use")

// Caller is a client that asks its bootstrap instances which instances to use.
type Caller struct {
	bootstrap []netip.AddrPort
	client    *http.Client
	tries     int

	mu     sync.Mutex
	cached map[string]cachedEntries
}

type cachedEntries struct {
	addresses []netip.AddrPort
	expires   time.Time
}

// New returns a caller that sends a request at most tries times.
func New(bootstrap []netip.AddrPort, tries int) *Caller {
	t := tlanswer.New(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	})
	return &Caller{
		bootstrap: slices.Clone(bootstrap),
		client:    &http.Client{Transport: t},
		tries:     tries,
		cached:    map[string]cachedEntries{},
	}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Entries returns the instances to use for a service, best first, from the
// cache or, if that has expired, from the first instance that knows any.
func (c *Caller) Entries(ctx context.Context, service string) ([]netip.AddrPort, error) {
	c.mu.Lock()
	k := c.cached[service]
	c.mu.Unlock()
	if time.Now().Before(k.expires) {
		return k.addresses, nil
	}
	for _, a := range append(slices.Clone(k.addresses), c.bootstrap...) {
		e, err := c.fetchEntries(ctx, a, service)
		if err == nil && len(e.Entries) > 0 {
			return c.store(service, e), nil
		}
	}
	return nil, errNoEntry
}

// Forget expires the cached instances of a service, as after a failed request.
// The next Entries asks these instances first.
func (c *Caller) Forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.cached[service]
	k.expires = time.Time{}
	c.cached[service] = k
}

func (c *Caller) store(service string, e tlwire.Entries) []netip.AddrPort {
	k := cachedEntries{expires: time.Now().Add(time.Duration(e.KeepFor * float64(time.Second)))}
	for _, v := range e.Entries {
		k.addresses = append(k.addresses, v.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached[service] = k
	return k.addresses
}

func (c *Caller) fetchEntries(ctx context.Context, a netip.AddrPort, service string) (tlwire.Entries, error) {
	var e tlwire.Entries
	ctx, stop := context.WithTimeout(ctx, entriesTimeout)
	defer stop()
	u := fmt.Sprintf("http://%s/v1/entries?Service=%s", a, url.QueryEscape(service))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return e, err
	}
	res, err := c.client.Do(r)
	if err != nil {
		return e, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return e, readRefusal(res)
	}
	return e, json.NewDecoder(res.Body).Decode(&e)
}
