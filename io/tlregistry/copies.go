package tlregistry

import (
	"context"
	"slices"

	"trefoillanding/core/tlmember"
	"trefoillanding/core/tlorigin"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

const (
	// copies is how many instances, besides this one and the home, are told of an origin. It
	// then outlasts any two instances while the store is away.
	copies = 2
	// askedCopies is how many are asked for one: one more, since an instance may have joined since.
	askedCopies = copies + 1
)

// copyOrigin tells other instances of an origin, so that it outlasts this one and the home
// while the log can't take it in, or has lost it with an era.
func (r *Registry) copyOrigin(o tlorigin.Origin) {
	r.mu.Lock()
	others := r.others
	if others == nil {
		others = r.o.Others()
		r.others = others
	}
	r.mu.Unlock()
	for _, h := range tlorigin.Holders(o.Attempt, others, copies) {
		r.sendCopies(h.Name, []tlorigin.Origin{o})
	}
}

func (r *Registry) sendCopies(peer string, list []tlorigin.Origin) {
	for range list {
		r.o.Count(Copied)
	}
	r.tell(peer, list)
}

// renewCopies tells the instances that have become holders, since others have ended,
// started or restarted, of the origins that the log does not have yet.
func (r *Registry) renewCopies() {
	now := r.o.Others()
	r.mu.Lock()
	before := r.others
	r.others = now
	list := slices.Concat(r.unwritten, r.writing)
	r.mu.Unlock()
	if slices.Equal(before, now) {
		return
	}
	byPeer, added := map[string][]tlorigin.Origin{}, map[string][]tlmember.Member{}
	for _, o := range list {
		group := tlorigin.Group(o.Attempt)
		if _, ok := added[group]; !ok {
			added[group] = tlorigin.NewHolders(o.Attempt, before, now, copies)
		}
		for _, h := range added[group] {
			byPeer[h.Name] = append(byPeer[h.Name], o)
		}
	}
	for peer, missing := range byPeer {
		r.sendCopies(peer, missing)
	}
}

// answer is what an instance that was asked for an origin said.
type answer struct {
	where             string
	isKnown, isSilent bool
}

// askOthers asks the home of a service and the holders of copies for an origin, all at
// once, until one knows it. It returns the counter of the place where it was found, or
// whether one that may know it gave no answer.
func (r *Registry) askOthers(ctx context.Context, service, attempt string) (where string, isSilent bool) {
	ctx, stop := context.WithTimeout(ctx, homeTimeout)
	defer stop()
	asked := map[string]string{}
	for _, h := range tlorigin.Holders(attempt, r.o.Others(), askedCopies) {
		asked[h.Name] = FoundInCopy
	}
	if home := r.o.Home(service); home != r.o.Self && home != "" {
		asked[home] = FoundAtHome
	}
	answers := make(chan answer, len(asked))
	for peer, place := range asked {
		go func() {
			n, err := r.ask(ctx, peer, attempt)
			answers <- answer{place, n > 0, err != nil}
		}()
	}
	for range asked {
		a := <-answers
		if a.isKnown {
			return a.where, false
		}
		isSilent = isSilent || a.isSilent
	}
	return "", isSilent
}

// ask asks another instance for an origin, and returns how many it told.
func (r *Registry) ask(ctx context.Context, peer, attempt string) (int, error) {
	m, err := tlpeer.Call[tlwire.OriginCall, tlwire.StreamOrigins](ctx, r.o.Mesh, peer, kindOrigin, tlwire.OriginCall{Attempt: attempt})
	if err != nil {
		return 0, err
	}
	r.learn(m)
	return len(m.Origins), nil
}
