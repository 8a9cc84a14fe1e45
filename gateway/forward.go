package gateway

import (
	"context"
	"crypto/subtle"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"trefoillanding/core/tlhealth"
	"trefoillanding/io/tlgateway"
	"trefoillanding/io/tlsend"
	"trefoillanding/platform"
)

// forwardPath is the path on the peer port for requests that other instances forward.
const forwardPath = "/forward"

// The headers with which an instance forwards a request, beside the caller's.
const (
	headerForwardTarget       = "Trefoil-Forward-Target"
	headerForwardToken        = "Trefoil-Forward-Token"
	headerForwardElapsed      = "Trefoil-Forward-Elapsed-Ms"
	headerForwardRuns         = "Trefoil-Forward-Runs"
	headerForwardOrganisation = "Trefoil-Forward-Organisation"
)

const (
	// maxForwardPeers bounds the instances that are asked, one after the other, to take a request.
	maxForwardPeers = 4
	// avoidPeerFor is how long an instance that could not take a request is asked after all others.
	avoidPeerFor = 500 * time.Millisecond
)

// errNoPeer reports that there is no other instance that takes requests.
var errNoPeer = errors.New("no other instance takes requests")

// avoidedPeers holds the instances that could lately take no request.
type avoidedPeers struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoidedPeers) add(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	a.until[name] = time.Now().Add(avoidPeerFor)
}

func (a *avoidedPeers) has(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.until[name])
}

// forwardPeers returns the instances that may take a request, those first that did not
// lately fail to, in random order.
func (i *Instance) forwardPeers() []string {
	var list, last []string
	for _, m := range i.gossip.Live() {
		switch {
		case m.Name == i.settings.Name:
		case i.avoidedPeers.has(m.Name):
			last = append(last, m.Name)
		default:
			list = append(list, m.Name)
		}
	}
	for _, l := range [][]string{list, last} {
		rand.Shuffle(len(l), func(a, b int) { l[a], l[b] = l[b], l[a] })
	}
	list = append(list, last...)
	return list[:min(len(list), maxForwardPeers)]
}

// forward gives a request to another instance. It asks the next one only where the one
// before has surely not run it, and could not have it run.
func (i *Instance) forward(ctx context.Context, f tlgateway.Forward) (*tlsend.Reply, string, error) {
	r := f.Request
	r.Header = i.forwardHeader(f)
	failed, last := error(errNoPeer), ""
	for _, peer := range i.forwardPeers() {
		a, ok := i.mesh.AddressOf(peer)
		if !ok {
			continue
		}
		last = peer
		answer, err := i.forwarder.Send(ctx, peer, a, forwardPath, r)
		if err == nil && !tlgateway.IsUnable(answer) {
			return answer, peer, nil
		}
		i.avoidedPeers.add(peer)
		if err == nil {
			_ = answer.Body.Close()
			continue
		}
		var e *tlsend.Error
		if errors.As(err, &e) && e.MayHaveRun || ctx.Err() != nil {
			return nil, peer, err
		}
		failed = err
	}
	return nil, last, &tlsend.Error{Endpoint: last, Outcome: tlhealth.Refused, Err: errors.Join(tlgateway.CutOffError(), failed)}
}

func (i *Instance) forwardHeader(f tlgateway.Forward) http.Header {
	h := f.Request.Header.Clone()
	platform.EncodeTakeUp(h, f.ResumeAfter, f.Resumes)
	h.Set(headerForwardTarget, f.Request.Target)
	h.Set(headerForwardElapsed, strconv.FormatInt(f.Elapsed.Milliseconds(), 10))
	h.Set(headerForwardRuns, strconv.Itoa(f.Runs))
	if f.Organisation != "" {
		h.Set(headerForwardOrganisation, f.Organisation)
	}
	if t := i.settings.Security.PeerToken; t != "" {
		h.Set(headerForwardToken, t)
	}
	return h
}

// serveForwarded serves a request that another instance forwards.
func (i *Instance) serveForwarded(w http.ResponseWriter, r *http.Request) {
	token := r.Header.Get(headerForwardToken)
	elapsed, badElapsed := strconv.ParseUint(r.Header.Get(headerForwardElapsed), 10, 31)
	runs, badRuns := strconv.ParseUint(r.Header.Get(headerForwardRuns), 10, 8)
	target, badTarget := url.ParseRequestURI(r.Header.Get(headerForwardTarget))
	isKnown := subtle.ConstantTimeCompare([]byte(token), []byte(i.settings.Security.PeerToken)) == 1
	if err := errors.Join(badElapsed, badRuns, badTarget); err != nil || !isKnown {
		i.log.WithField("IsKnown", isKnown).Warn("forwarded request refused")
		http.NotFound(w, r)
		return
	}
	organisation := r.Header.Get(headerForwardOrganisation)
	r = r.Clone(r.Context())
	r.RequestURI, r.URL = r.Header.Get(headerForwardTarget), target
	for _, name := range []string{headerForwardTarget, headerForwardToken, headerForwardElapsed, headerForwardRuns, headerForwardOrganisation} {
		r.Header.Del(name)
	}
	i.gateway.ServeForwarded(w, r, tlgateway.Forwarding{
		Elapsed:      time.Duration(elapsed) * time.Millisecond,
		Runs:         int(runs),
		Organisation: organisation,
	})
}
