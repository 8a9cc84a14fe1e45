package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"trefoillanding/core/tlcall"
	"trefoillanding/core/tlendpoint"
	"trefoillanding/core/tlkeyed"
	"trefoillanding/io/tlorder"
	"trefoillanding/io/tlsend"
	"trefoillanding/platform"
)

// maxEngineAnswerBytes bounds an engine's answer to a call that the gateway makes on its own behalf.
const maxEngineAnswerBytes = 256 << 10

func (i *Instance) roleControllerOptions() tlorder.Options {
	return tlorder.Options{
		Holder: i.settings.Name,
		Lease:  i.settings.Gateway.Lease,
		HolderLog: tlorder.HolderLog{
			Newest: func(ctx context.Context) (tlkeyed.Batch, error) {
				return i.store.Newest(ctx, platform.TopicFences)
			},
			Append: func(ctx context.Context, service string, holder []byte, at uint64) (tlkeyed.Position, error) {
				return i.store.AppendKeyAt(ctx, platform.TopicFences, service, holder, at)
			},
		},
		Services:         i.homeServices,
		Roles:            i.coordinator.Roles,
		LacksDecoder:     i.coordinator.LacksDecoder,
		MarkChangingRole: i.coordinator.MarkChangingRole,
		MarkKeepingRole:  i.coordinator.MarkKeepingRole,
		HasEnded:         i.hasEnded,
		RoleChangeTime:   i.roleChangeTime,
		Load:             i.engineLoad,
		Order:            i.orderRole,
		Now:              tlorder.BootTime,
		Logger:           i.log,
		Count:            i.counters.orders.Count,
	}
}

// homeServices returns the services whose home this instance is; none while it drains.
func (i *Instance) homeServices() []string {
	if i.draining.Load() {
		return nil
	}
	return i.coordinator.HomeServices()
}

func (i *Instance) roleChangeTime(service string) time.Duration {
	t := i.table.Load()
	if t == nil || t.Service(service).Engine == nil {
		return 0
	}
	return t.Service(service).Engine.RoleChangeTime
}

// engineLoad queries the load of an engine.
func (i *Instance) engineLoad(ctx context.Context, e tlendpoint.Endpoint) (tlendpoint.Load, error) {
	return i.askEngine(ctx, e, tlcall.Send{})
}

func (i *Instance) askEngine(ctx context.Context, e tlendpoint.Endpoint, c tlcall.Send) (tlendpoint.Load, error) {
	method, path := platform.ReportCall()
	_, body, err := i.callEngine(ctx, e, c, method, path, nil)
	if err != nil {
		return tlendpoint.Load{}, err
	}
	return platform.DecodeReport(body)
}

// orderRole orders an engine to take a role; it fails unless the engine accepts, with
// ErrRefused if the engine has refused.
func (i *Instance) orderRole(ctx context.Context, e tlendpoint.Endpoint, r tlendpoint.Role, fence uint64, orders int64) error {
	method, path, body, err := platform.OrderCall(r, i.settings.Name, fence, orders)
	if err != nil {
		return err
	}
	status, _, err := i.callEngine(ctx, e, tlcall.Send{}, method, path, body)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusConflict:
		return errOtherOrder
	default:
		return fmt.Errorf("%w: it answered with status %d", tlorder.ErrRefused, status)
	}
}

// errOtherOrder is returned for an order to an engine that has just accepted another one,
// which may be the same.
var errOtherOrder = errors.New("the engine has accepted another order")

func (i *Instance) callEngine(ctx context.Context, e tlendpoint.Endpoint, c tlcall.Send, method, path string, body []byte) (int, []byte, error) {
	h := http.Header{}
	if body != nil {
		h.Set("Content-Type", "application/json")
	}
	r, err := i.sender.Send(ctx, e, tlsend.Request{
		Method: method,
		Target: path,
		Host:   e.Address.String(),
		Header: h,
		Body:   body,
	}, c)
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxEngineAnswerBytes))
	return r.Status, b, err
}
