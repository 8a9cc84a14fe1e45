package tlbooking

import (
	"context"
	"time"

	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// Place returns the decision on a request, asking the home of its service; the
// error is NoEndpoint where the service has no engines that are known, or CallerGone when ctx ends.
func (d *Desk) Place(ctx context.Context, service string, r tlplace.Request) (tlplace.Decision, error) {
	k := d.book(service, nil)
	if k == nil {
		return tlplace.Decision{}, tlverdict.New(tlverdict.NoEndpoint, "no engine of service %s is known", service)
	}
	r.Owner = d.o.Self
	r.DataCentre = d.o.DataCentre
	if a, ok := d.askHomes(ctx, service, r); ok {
		return d.decided(k, r, a), nil
	}
	d.o.Count(PlacedHere)
	return d.wait(ctx, k, r)
}

// askHomes asks the home of a service, and the next one where it is silent and
// no longer held for home; it says whether any decided.
func (d *Desk) askHomes(ctx context.Context, service string, r tlplace.Request) (tlwire.PlaceAnswer, bool) {
	asked := ""
	for range mostHomes {
		home := d.o.Home(service)
		if home == d.o.Self.Name || home == asked {
			break
		}
		asked = home
		if a, ok := d.askHome(ctx, home, service, r); ok {
			return a, true
		}
	}
	return tlwire.PlaceAnswer{}, false
}

// wait has the decision made by this instance's own book.
func (d *Desk) wait(ctx context.Context, k *book, r tlplace.Request) (tlplace.Decision, error) {
	decided := k.submit(d.o.Now(), r)
	again := time.NewTicker(holdAnswer)
	defer again.Stop()
	for {
		select {
		case a := <-decided:
			k.claim(r.ID)
			return a, nil
		case <-again.C:
			decided = k.submit(d.o.Now(), r)
		case <-ctx.Done():
			k.withdraw(d.o.Now(), r.ID)
			return tlplace.Decision{}, tlverdict.New(tlverdict.CallerGone, "the caller left the queue")
		}
	}
}

// askHome asks a home until it decides, is silent, or is home no more; it says whether it decided.
func (d *Desk) askHome(ctx context.Context, home, service string, r tlplace.Request) (tlwire.PlaceAnswer, bool) {
	for ctx.Err() == nil && d.o.Home(service) == home {
		a, err := d.askOnce(ctx, home, placeCall(service, r, d.o.Now()))
		if err != nil {
			break
		}
		if a.IsDecided {
			return a, true
		}
	}
	if ctx.Err() == nil {
		d.o.Count(HomeLeft)
	}
	d.post(home, tlwire.PlaceReport{Service: service, Request: r.ID, Event: int(Ended)})
	return tlwire.PlaceAnswer{}, false
}

func (d *Desk) askOnce(ctx context.Context, home string, c tlwire.PlaceCall) (tlwire.PlaceAnswer, error) {
	ctx, stop := context.WithTimeout(ctx, holdAnswer+answerWithin)
	defer stop()
	return tlpeer.Call[tlwire.PlaceCall, tlwire.PlaceAnswer](ctx, d.o.Mesh, home, kindPlace, c)
}

func placeCall(service string, r tlplace.Request, now time.Time) tlwire.PlaceCall {
	return tlwire.PlaceCall{
		Service:    service,
		Request:    r.ID,
		DataCentre: r.DataCentre,
		Prompt:     r.Prompt,
		Output:     r.Output,
		Rank:       r.Rank,
		DueIn:      r.Due.Sub(now),
		GiveUpIn:   r.GiveUp.Sub(now),
		UntilIn:    r.Deadline.Sub(now),
		ReadIn:     max(r.ReadUntil.Sub(now), 0),
		HasBegun:   r.HasBegun,
		Avoid:      r.Avoid,
	}
}

// decided takes a home's decision into this instance's own book.
func (d *Desk) decided(k *book, r tlplace.Request, a tlwire.PlaceAnswer) tlplace.Decision {
	d.o.Count(PlacedByHome)
	if a.Decode != "" {
		k.adopt(d.o.Now(), []tlplace.Booking{{Request: r.ID, Owner: d.o.Self, Decode: a.Decode, Tokens: a.Tokens}})
	}
	return tlplace.Decision{
		Request:    r.ID,
		Owner:      d.o.Self,
		Prefill:    a.Prefill,
		Decode:     a.Decode,
		UsesRead:   a.UsesRead,
		Tokens:     a.Tokens,
		Refused:    tlplace.Reason(a.Refused),
		RetryAfter: a.RetryAfter,
		Waited:     a.Waited,
	}
}

// Report tells the home, and this instance's own book, how a request goes on.
func (d *Desk) Report(service, request string, e Event, engine string) {
	if k := d.book(service, nil); k != nil {
		k.note(d.o.Now(), request, e, engine)
	}
	home := d.o.Home(service)
	if home == d.o.Self.Name {
		return
	}
	d.post(home, tlwire.PlaceReport{Service: service, Request: request, Event: int(e), Engine: engine})
}

func (d *Desk) post(home string, r tlwire.PlaceReport) {
	d.o.Post(home, kindReport, func(ctx context.Context) error {
		return tlpeer.Send(ctx, d.o.Mesh, home, kindReport, r)
	})
}
