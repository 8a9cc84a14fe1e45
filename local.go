package trefoillanding

import (
	"context"
	"net/http"

	"trefoillanding/core/tlselect"
	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlentry"
	"trefoillanding/io/tlhome"
	"trefoillanding/io/tlrelay"
)

func (i *Instance) deliver(_ string, s tlwire.Step) {
	i.relay.Deliver(s)
}

func (i *Instance) owns(_ context.Context, _ tlhome.Owner, requests []string) ([]bool, error) {
	return i.relay.Owns(requests), nil
}

func (i *Instance) leaving(string) bool {
	return false
}

func (i *Instance) homeOf(tlwire.Pool) string {
	return i.settings.Name
}

func (i *Instance) submit(_ context.Context, s tlwire.Submission) error {
	return i.homes.Submit(s)
}

func (i *Instance) report(r tlwire.Report) {
	_ = i.homes.Report(tlhome.Owner{Name: i.settings.Name, Incarnation: i.incarnation}, r)
}

func (i *Instance) takeHomes() {
	_, c := i.current()
	i.homes.Use(c.Declared, func(tlwire.Pool) bool { return true })
}

func (i *Instance) poolsFor(r tlrelay.Request) []tlwire.Pool {
	_, c := i.current()
	return c.PoolsOf(r.Service.Name)
}

func (i *Instance) plain(context.Context, tlwire.Service, tlentry.PlainCall) (tlentry.PlainAnswer, error) {
	return tlentry.PlainAnswer{}, tlverdict.New(tlverdict.NoEndpoint, "plain services are not served yet")
}

func (i *Instance) operator() http.Handler {
	return http.NotFoundHandler()
}

func (i *Instance) candidates() []tlselect.Candidate {
	return []tlselect.Candidate{{Name: i.settings.Name, Address: i.settings.Listen, DataCentre: i.settings.DataCentre}}
}
