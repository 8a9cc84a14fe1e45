package tlbooking

import (
	"context"
	"fmt"
	"time"

	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlrole"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// answerPlace answers an owner that asks for a place; whoever is asked decides,
// since two homes at once cost efficiency and never an answer.
func (d *Coordinator) answerPlace(ctx context.Context, from tlpeer.Peer, c tlwire.PlaceCall) (tlwire.PlaceAnswer, error) {
	k := d.book(c.Service, nil)
	if k == nil {
		return tlwire.PlaceAnswer{}, fmt.Errorf("no engine of service %s is known here", c.Service)
	}
	now := d.o.Now()
	decided := k.submit(now, tlplace.Request{
		ID:               c.Request,
		Owner:            tlplace.Owner{Name: from.Name, Incarnation: from.Incarnation},
		DataCentre:       c.DataCentre,
		Prompt:           c.Prompt,
		Output:           c.Output,
		Rank:             c.Rank,
		Due:              now.Add(c.DueIn),
		GiveUp:           now.Add(c.GiveUpIn),
		Deadline:         now.Add(c.UntilIn),
		PrefillKeptUntil: now.Add(c.ReadIn),
		HasBegun:         c.HasBegun,
		Avoid:            c.Avoid,
	})
	hold := time.NewTimer(holdAnswer)
	defer hold.Stop()
	select {
	case a := <-decided:
		k.claim(c.Request)
		return answerOf(a), nil
	case <-hold.C:
		return tlwire.PlaceAnswer{}, nil
	case <-ctx.Done():
		return tlwire.PlaceAnswer{}, ctx.Err()
	}
}

func answerOf(d tlplace.Decision) tlwire.PlaceAnswer {
	return tlwire.PlaceAnswer{
		IsDecided:  true,
		Prefill:    d.Prefill,
		Decode:     d.Decode,
		UsesRead:   d.ReusesPrefill,
		Tokens:     d.Tokens,
		Refused:    int(d.Refused),
		RetryAfter: d.RetryAfter,
		Waited:     d.Waited,
	}
}

func (d *Coordinator) takeReport(_ context.Context, _ tlpeer.Peer, r tlwire.PlaceReport) (tlpeer.Empty, error) {
	k := d.book(r.Service, nil)
	if k == nil {
		return tlpeer.Empty{}, nil
	}
	if Event(r.Event) == Ended {
		k.withdraw(d.o.Now(), r.Request)
		return tlpeer.Empty{}, nil
	}
	k.note(d.o.Now(), r.Request, Event(r.Event), r.Engine)
	return tlpeer.Empty{}, nil
}

func (d *Coordinator) takeHeld(_ context.Context, from tlpeer.Peer, r tlwire.HeldReport) (tlpeer.Empty, error) {
	k := d.book(r.Service, nil)
	if k == nil {
		return tlpeer.Empty{}, nil
	}
	owner := tlplace.Owner{Name: from.Name, Incarnation: from.Incarnation}
	list := make([]tlplace.Booking, 0, len(r.Held))
	for _, h := range r.Held {
		list = append(list, tlplace.Booking{Request: h.Request, Owner: owner, Decode: h.Decode, Tokens: h.Tokens})
	}
	k.adopt(d.o.Now(), list)
	return tlpeer.Empty{}, nil
}

// HomeServices returns the services whose home this instance is.
func (d *Coordinator) HomeServices() []string {
	var list []string
	for service := range d.services() {
		if d.o.Home(service) == d.o.Self.Name {
			list = append(list, service)
		}
	}
	return list
}

// Roles returns what a plan of a service's roles is made from.
func (d *Coordinator) Roles(service string) tlrole.State {
	k := d.book(service, nil)
	if k == nil {
		return tlrole.State{}
	}
	return k.roles(d.o.Now())
}

// MarkChangingRole notes that an engine changes its role and is away until a time at most.
func (d *Coordinator) MarkChangingRole(service, engine string, until time.Time) {
	if k := d.book(service, nil); k != nil {
		k.away(engine, until)
	}
}

// RecordHeldMemory takes in the memory that an engine says is held.
func (d *Coordinator) RecordHeldMemory(service, engine string, held int) {
	if k := d.book(service, nil); k != nil {
		k.reported(d.o.Now(), engine, held)
	}
}

// IsInUse says whether requests for a service have come of late.
func (d *Coordinator) IsInUse(service string) bool {
	return d.Roles(service).HasTraffic
}
