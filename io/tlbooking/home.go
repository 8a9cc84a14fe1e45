package tlbooking

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlplace"
	"trefoillanding/core/tlrole"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlpeer"
)

// handlePlace answers an owner's call for a reservation. It decides even if this
// instance does not believe itself to be the home: two homes at once reduce
// efficiency, but no request is lost.
func (d *Coordinator) handlePlace(ctx context.Context, from tlpeer.Peer, c tlwire.PlaceCall) (tlwire.PlaceAnswer, error) {
	k := d.reservationsOf(c.Service, nil)
	if k == nil {
		return tlwire.PlaceAnswer{}, fmt.Errorf("no engine of service %s is known here", c.Service)
	}
	now := d.o.Now()
	if d.home(c.Service) != d.o.Self.Name && k.standIn(now) {
		d.o.Count(StoodIn)
		d.o.Log.WithFields(logrus.Fields{"Service": c.Service, "Home": d.home(c.Service), "Asked": from.Name}).Info("stands in for home")
	}
	decided := k.submit(now, tlplace.Request{
		ID:               c.Request,
		Owner:            tlplace.Owner{Name: from.Name, Incarnation: from.Incarnation},
		DataCentre:       c.DataCentre,
		Prompt:           c.Prompt,
		Output:           c.Output,
		Rank:             c.Rank,
		Organisation:     c.Organisation,
		Weight:           c.Weight,
		Due:              now.Add(c.DueIn),
		GiveUp:           now.Add(c.GiveUpIn),
		Deadline:         now.Add(c.UntilIn),
		PrefillKeptUntil: now.Add(c.ReadIn),
		Gap:              c.Gap,
		HasBegun:         c.HasBegun,
		Continues:        c.Continues,
		Avoid:            c.Avoid,
		Version:          c.Version,
		PrefillVersion:   c.ReadVersion,
	})
	hold := time.NewTimer(longPollTimeout)
	defer hold.Stop()
	select {
	case a := <-decided:
		k.removeWaiter(c.Request)
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
		Beside:     d.Beside,
		Refused:    int(d.Refused),
		RetryAfter: d.RetryAfter,
		Waited:     d.Waited,
	}
}

func (d *Coordinator) handleReport(_ context.Context, _ tlpeer.Peer, r tlwire.PlaceReport) (tlpeer.Empty, error) {
	k := d.reservationsOf(r.Service, nil)
	if k == nil {
		return tlpeer.Empty{}, nil
	}
	k.measure(d.o.Now(), r.Request, tlplace.Answer{Tokens: r.Tokens, Took: r.Took})
	if Event(r.Event) == Ended {
		k.withdraw(d.o.Now(), r.Request)
		return tlpeer.Empty{}, nil
	}
	k.applyEvent(d.o.Now(), r.Request, Event(r.Event), r.Engine)
	return tlpeer.Empty{}, nil
}

func (d *Coordinator) handleHeld(_ context.Context, from tlpeer.Peer, r tlwire.HeldReport) (tlpeer.Empty, error) {
	k := d.reservationsOf(r.Service, nil)
	if k == nil {
		return tlpeer.Empty{}, nil
	}
	owner := tlplace.Owner{Name: from.Name, Incarnation: from.Incarnation}
	list := make([]tlplace.Booking, 0, len(r.Held))
	for _, h := range r.Held {
		list = append(list, tlplace.Booking{Request: h.Request, Owner: owner, Decode: h.Decode, Tokens: h.Tokens})
	}
	k.mergeRates(decodeRates(r.Rates))
	k.mergePaces(d.o.Now(), decodePaces(d.o.Now(), r.Paces))
	k.adopt(d.o.Now(), list)
	return tlpeer.Empty{}, nil
}

// HomeServices returns the services whose home is this instance.
func (d *Coordinator) HomeServices() []string {
	var list []string
	for service := range d.services() {
		if d.isHome(service) {
			list = append(list, service)
		}
	}
	return list
}

// Roles returns the state from which the roles of a service's engines are planned.
func (d *Coordinator) Roles(service string) tlrole.State {
	k := d.reservationsOf(service, nil)
	if k == nil {
		return tlrole.State{}
	}
	return k.roles(d.o.Now())
}

// LacksDecoder reports whether requests need a version of a service of which no decode
// engine is known to work, while a prefill engine of it could become one.
func (d *Coordinator) LacksDecoder(service string) bool {
	k := d.reservationsOf(service, nil)
	return k != nil && k.lacksDecoder(d.o.Now())
}

// MarkChangingRole records that an engine changes to a role and is unavailable until the given time at the latest.
func (d *Coordinator) MarkChangingRole(service, engine string, to tlendpoint.Role, until time.Time) {
	if k := d.reservationsOf(service, nil); k != nil {
		k.markChangingRole(d.o.Now(), engine, to, until)
	}
}

// MarkKeepingRole records that an engine does not change its role after all.
func (d *Coordinator) MarkKeepingRole(service, engine string) {
	if k := d.reservationsOf(service, nil); k != nil {
		k.markKeepingRole(engine)
	}
}

// RecordHeldMemory records the memory, in tokens, that an engine reports as held.
func (d *Coordinator) RecordHeldMemory(service, engine string, held int) {
	if k := d.reservationsOf(service, nil); k != nil {
		k.recordHeldMemory(d.o.Now(), engine, held)
	}
}

// NeedsReport reports whether an engine is to be asked for its memory.
func (d *Coordinator) NeedsReport(service, engine string) bool {
	k := d.reservationsOf(service, nil)
	return k != nil && k.needsReport(d.o.Now(), engine)
}

// IsInUse reports whether a service has had requests within the last few seconds.
func (d *Coordinator) IsInUse(service string) bool {
	return d.Roles(service).HasTraffic
}
