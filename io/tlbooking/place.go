package tlbooking

import (
	"context"
	"time"

	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// Place returns the decision on a request, which it asks of the home of its
// service. The error is NoEndpoint if no engines of the service are known, or CallerGone when ctx ends.
func (d *Coordinator) Place(ctx context.Context, service string, r tlplace.Request) (tlplace.Decision, error) {
	k := d.reservationsOf(service, nil)
	if k == nil {
		return tlplace.Decision{}, tlverdict.New(tlverdict.NoEndpoint, "no engine of service %s is known", service)
	}
	r.Owner = d.o.Self
	r.DataCentre = d.o.DataCentre
	if a, ok := d.askHomes(ctx, service, r); ok {
		return d.adoptDecision(k, r, a), nil
	}
	d.o.Count(PlacedLocally)
	return d.decideLocally(ctx, k, r)
}

// askHomes asks the home of a service and, if that home does not decide, the one that
// has taken its place or stands in for it; it reports whether any decided.
func (d *Coordinator) askHomes(ctx context.Context, service string, r tlplace.Request) (tlwire.PlaceAnswer, bool) {
	asked := ""
	for range MaxHomes {
		home := d.home(service)
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

// decideLocally waits for a decision from this instance's own reservations.
func (d *Coordinator) decideLocally(ctx context.Context, k *reservations, r tlplace.Request) (tlplace.Decision, error) {
	decided := k.submit(d.o.Now(), r)
	again := time.NewTicker(longPollTimeout)
	defer again.Stop()
	for {
		select {
		case a := <-decided:
			k.removeWaiter(r.ID)
			return a, nil
		case <-again.C:
			decided = k.submit(d.o.Now(), r)
		case <-ctx.Done():
			k.withdraw(d.o.Now(), r.ID)
			return tlplace.Decision{}, tlverdict.New(tlverdict.CallerGone, "the caller left while the request was queued")
		}
	}
}

// askHome asks a home until it decides, fails to answer, or is no longer the home; it reports whether it decided.
func (d *Coordinator) askHome(ctx context.Context, home, service string, r tlplace.Request) (tlwire.PlaceAnswer, bool) {
	for ctx.Err() == nil && d.home(service) == home {
		a, err := d.askOnce(ctx, home, placeCall(service, r, d.o.Now()))
		if err != nil {
			if ctx.Err() == nil {
				d.doubt(home, err)
			}
			break
		}
		if a.IsDecided {
			return a, true
		}
	}
	if ctx.Err() == nil {
		d.o.Count(HomeAbandoned)
	}
	d.postReport(home, tlwire.PlaceReport{Service: service, Request: r.ID, Event: int(Ended)})
	return tlwire.PlaceAnswer{}, false
}

func (d *Coordinator) askOnce(ctx context.Context, home string, c tlwire.PlaceCall) (tlwire.PlaceAnswer, error) {
	ctx, stop := context.WithTimeout(ctx, longPollTimeout+longPollMargin)
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

		Organisation: r.Organisation,
		Weight:       r.Weight,

		DueIn:    r.Due.Sub(now),
		GiveUpIn: r.GiveUp.Sub(now),
		UntilIn:  r.Deadline.Sub(now),
		ReadIn:   max(r.PrefillKeptUntil.Sub(now), 0),
		HasBegun: r.HasBegun,

		Continues: r.Continues,

		Gap:     r.Gap,
		Avoid:   r.Avoid,
		Version: r.Version,

		ReadVersion: r.PrefillVersion,
	}
}

// adoptDecision records a home's decision in this instance's own reservations.
func (d *Coordinator) adoptDecision(k *reservations, r tlplace.Request, a tlwire.PlaceAnswer) tlplace.Decision {
	d.o.Count(PlacedByHome)
	if a.Decode != "" {
		k.follow(d.o.Now(), r, tlplace.Decision{Decode: a.Decode, Tokens: a.Tokens, Beside: a.Beside})
	}
	return tlplace.Decision{
		Request:       r.ID,
		Owner:         d.o.Self,
		Prefill:       a.Prefill,
		Decode:        a.Decode,
		ReusesPrefill: a.UsesRead,
		Tokens:        a.Tokens,
		Beside:        a.Beside,
		Refused:       tlplace.Reason(a.Refused),
		RetryAfter:    a.RetryAfter,
		Waited:        a.Waited,
	}
}

// Report sends an event of a request to the home and applies it to this instance's own reservations.
func (d *Coordinator) Report(service, request string, e Event, engine string) {
	d.ReportAnswer(service, request, e, engine, tlplace.Answer{})
}

// ReportAnswer reports an event as Report does, with the speed of the answer that it ends.
func (d *Coordinator) ReportAnswer(service, request string, e Event, engine string, a tlplace.Answer) {
	home := d.home(service)
	isHome := home == d.o.Self.Name
	if k := d.reservationsOf(service, nil); k != nil {
		k.measure(d.o.Now(), request, a)
		k.applyEvent(d.o.Now(), request, e, engine)
	}
	if isHome {
		return
	}
	d.postReport(home, tlwire.PlaceReport{
		Service: service,
		Request: request,
		Event:   int(e),
		Engine:  engine,
		Tokens:  a.Tokens,
		Took:    a.Took,
	})
}

func (d *Coordinator) postReport(home string, r tlwire.PlaceReport) {
	d.o.Post(home, kindReport, func(ctx context.Context) error {
		return tlpeer.Send(ctx, d.o.Mesh, home, kindReport, r)
	})
}
