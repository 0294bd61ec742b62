package lhops

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

// Endpoints are the methods of a Service as functions of request and response
// values, which middleware can be put around.
type Endpoints struct {
	DumpEndpoint   endpoint.Endpoint
	StatusEndpoint endpoint.Endpoint
	HealthEndpoint endpoint.Endpoint
}

// dumpRequest asks for a dump; an empty Service means all of them.
type dumpRequest struct{ Service string }

// emptyRequest is the request of methods without parameters.
type emptyRequest struct{}

// NewEndpoints returns the endpoints of a Service.
func NewEndpoints(s Service) Endpoints {
	return Endpoints{
		DumpEndpoint: func(ctx context.Context, request any) (any, error) {
			return s.Dump(ctx, request.(dumpRequest).Service)
		},
		StatusEndpoint: func(ctx context.Context, _ any) (any, error) {
			return s.Status(ctx)
		},
		HealthEndpoint: func(ctx context.Context, _ any) (any, error) {
			return s.Health(ctx)
		},
	}
}

// Dump implements Service through the endpoint.
func (e Endpoints) Dump(ctx context.Context, service string) (Dump, error) {
	return call[Dump](ctx, e.DumpEndpoint, dumpRequest{service})
}

// Status implements Service through the endpoint.
func (e Endpoints) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, e.StatusEndpoint, emptyRequest{})
}

// Health implements Service through the endpoint.
func (e Endpoints) Health(ctx context.Context) (Health, error) {
	return call[Health](ctx, e.HealthEndpoint, emptyRequest{})
}

// call returns an endpoint's response in its own type.
func call[T any](ctx context.Context, e endpoint.Endpoint, request any) (T, error) {
	response, err := e(ctx, request)
	if err != nil {
		var none T
		return none, err
	}
	return response.(T), nil
}
