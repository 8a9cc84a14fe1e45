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
)

const (
	dialTimeout  = time.Second
	tryDelay     = 50 * time.Millisecond
	maxIdleConns = 4096
)

var errNoEntry = errors.New("no instance tells which to use")

// Caller knows some instances and asks them which to use.
type Caller struct {
	known  []netip.AddrPort
	client *http.Client
	tries  int

	mu   sync.Mutex
	kept map[string]keptEntries
}

type keptEntries struct {
	addresses []netip.AddrPort
	until     time.Time
}

// New returns a caller that knows some instances and tries a request that often.
func New(known []netip.AddrPort, tries int) *Caller {
	t := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &Caller{
		known:  slices.Clone(known),
		client: &http.Client{Transport: t},
		tries:  tries,
		kept:   map[string]keptEntries{},
	}
}

// Close ends idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Entries returns the instances to use for a service, best first, as kept or asked anew.
func (c *Caller) Entries(ctx context.Context, service string) ([]netip.AddrPort, error) {
	c.mu.Lock()
	k := c.kept[service]
	c.mu.Unlock()
	if time.Now().Before(k.until) {
		return k.addresses, nil
	}
	for _, a := range append(slices.Clone(k.addresses), c.known...) {
		e, err := c.ask(ctx, a, service)
		if err == nil && len(e.Entries) > 0 {
			return c.keep(service, e), nil
		}
	}
	return nil, errNoEntry
}

// Forget drops the kept answers, as a caller does whose instance fails.
func (c *Caller) Forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.kept[service]
	k.until = time.Time{}
	c.kept[service] = k
}

func (c *Caller) keep(service string, e tlwire.Entries) []netip.AddrPort {
	k := keptEntries{until: time.Now().Add(time.Duration(e.KeepFor * float64(time.Second)))}
	for _, v := range e.Entries {
		k.addresses = append(k.addresses, v.Address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept[service] = k
	return k.addresses
}

func (c *Caller) ask(ctx context.Context, a netip.AddrPort, service string) (tlwire.Entries, error) {
	var e tlwire.Entries
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
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
		return e, refusalOf(res)
	}
	return e, json.NewDecoder(res.Body).Decode(&e)
}
