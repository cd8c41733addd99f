package host

import (
	"context"

	"sardinefront.dev/core/refusal"
	"sardinefront.dev/core/request"
	"sardinefront.dev/target"
)

// openResponse returns the response to a request whose caller waits for it. A non-idempotent
// request is claimed in the journal first.
func (h *Host) openResponse(ctx context.Context, in *incomingRequest) (responseReader, *refusal.Refusal) {
	if in.req.Effect == request.NonIdempotent {
		return h.openClaimed(ctx, in)
	}
	x, ref := h.newExchange(in)
	if ref != nil {
		return nil, ref
	}
	if _, ref := x.open(ctx); ref != nil {
		return nil, ref
	}
	return x, nil
}

// newExchange queues the request in its pool.
func (h *Host) newExchange(in *incomingRequest) (*exchange, *refusal.Refusal) {
	runner := (*h.pools.Load())[in.req.Pool]
	pending, ref := runner.submit(in.req)
	if ref != nil {
		return nil, ref
	}
	return &exchange{host: h, runner: runner, pending: pending, call: in.call}, nil
}

// head implements responseReader.
func (x *exchange) head() *target.Response { return x.response }
