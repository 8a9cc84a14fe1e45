package trefoillanding

import (
	"context"

	"trefoillanding/core/tlverdict"
	"trefoillanding/core/tlwire"
	"trefoillanding/io/tlentry"
)

func (i *Instance) plain(context.Context, tlwire.Service, tlentry.PlainCall) (tlentry.PlainAnswer, error) {
	return tlentry.PlainAnswer{}, tlverdict.New(tlverdict.NoEndpoint, "plain services are not served yet")
}

func (i *Instance) apply(context.Context, tlwire.ApplyCall) (uint64, error) {
	return 0, tlverdict.New(tlverdict.NoConfig, "configurations can't be applied yet")
}
