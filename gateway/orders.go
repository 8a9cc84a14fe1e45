package gateway

import (
	"context"
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

// engineAnswerBytes bounds an engine's answer to a call of the router's own.
const engineAnswerBytes = 256 << 10

func (i *Instance) orderOptions() tlorder.Options {
	return tlorder.Options{
		Holder: i.settings.Name,
		Lease:  i.settings.Gateway.Lease,
		HolderLog: tlorder.HolderLog{
			Newest: func(ctx context.Context) (tlkeyed.Batch, error) {
				return i.store.Newest(ctx, platform.TopicFences)
			},
			Append: func(ctx context.Context, service string, holder []byte, at uint64) (uint64, error) {
				return i.store.AppendKeyAt(ctx, platform.TopicFences, service, holder, at)
			},
		},
		Services:   i.orderedServices,
		Roles:      i.desk.Roles,
		Away:       i.desk.Away,
		RoleChange: i.roleChange,
		Load:       i.loadOf,
		Order:      i.order,
		Now:        tlorder.BootTime,
		Logger:     i.log,
		Count:      i.counters.orders.Count,
	}
}

// orderedServices returns the services whose home this instance is, unless it leaves.
func (i *Instance) orderedServices() []string {
	if i.leaving.Load() {
		return nil
	}
	return i.desk.Homes()
}

func (i *Instance) roleChange(service string) time.Duration {
	t := i.table.Load()
	if t == nil || t.Service(service).Engine == nil {
		return 0
	}
	return t.Service(service).Engine.RoleChangeTime
}

// loadOf asks an engine for its load.
func (i *Instance) loadOf(ctx context.Context, e tlendpoint.Endpoint) (tlendpoint.Load, error) {
	method, path := platform.ReportCall()
	_, body, err := i.callEngine(ctx, e, method, path, nil)
	if err != nil {
		return tlendpoint.Load{}, err
	}
	return platform.DecodeReport(body)
}

// order gives an engine the order to take a role.
func (i *Instance) order(ctx context.Context, e tlendpoint.Endpoint, r tlendpoint.Role, fence uint64, orders int64) error {
	method, path, body, err := platform.OrderCall(r, i.settings.Name, fence, orders)
	if err != nil {
		return err
	}
	status, _, err := i.callEngine(ctx, e, method, path, body)
	if err != nil {
		return err
	}
	if status != http.StatusOK && status != http.StatusAccepted {
		return fmt.Errorf("the engine answered status %d", status)
	}
	return nil
}

func (i *Instance) callEngine(ctx context.Context, e tlendpoint.Endpoint, method, path string, body []byte) (int, []byte, error) {
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
	}, tlcall.Send{})
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, engineAnswerBytes))
	return r.Status, b, err
}
