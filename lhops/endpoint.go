package lhops

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

// Endpoints holds the methods of a Service as functions of request and response
// values, so that middleware can wrap them. It implements Service itself.
type Endpoints struct {
	DumpEndpoint   endpoint.Endpoint
	StatusEndpoint endpoint.Endpoint
	HealthEndpoint endpoint.Endpoint
}

// dumpRequest is the request of Dump; an empty Service selects all services.
type dumpRequest struct{ Service string }

// emptyRequest is the request of methods without parameters.
type emptyRequest struct{}

// NewEndpoints returns the endpoints that call a Service.
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

// Dump implements Service.
func (e Endpoints) Dump(ctx context.Context, service string) (Dump, error) {
	return call[Dump](ctx, e.DumpEndpoint, dumpRequest{service})
}

// Status implements Service.
func (e Endpoints) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, e.StatusEndpoint, emptyRequest{})
}

// Health implements Service.
func (e Endpoints) Health(ctx context.Context) (Health, error) {
	return call[Health](ctx, e.HealthEndpoint, emptyRequest{})
}

// call calls an endpoint and converts its response to T.
func call[T any](ctx context.Context, e endpoint.Endpoint, request any) (T, error) {
	response, err := e(ctx, request)
	if err != nil {
		var zero T
		return zero, err
	}
	return response.(T), nil
}
