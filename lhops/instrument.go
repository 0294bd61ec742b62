package lhops

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"go.opentelemetry.io/otel/metric"
)

// requestMetrics counts and times operators' requests.
type requestMetrics struct {
	count    metric.Int64Counter
	duration metric.Float64Histogram
}

// instrument wraps each endpoint with middleware that counts and times its requests.
func (m *metrics) instrument(e Endpoints) Endpoints {
	return Endpoints{
		DumpEndpoint:   m.requests.middleware("dump")(e.DumpEndpoint),
		StatusEndpoint: m.requests.middleware("status")(e.StatusEndpoint),
		HealthEndpoint: m.requests.middleware("health")(e.HealthEndpoint),
	}
}

// middleware returns middleware that counts and times the requests of an endpoint.
func (r requestMetrics) middleware(name string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			start := time.Now()
			response, err := next(ctx, request)
			code := strconv.Itoa(int(lhcode.Of(err)))
			r.count.Add(ctx, 1, labels("endpoint", name, "code", code))
			r.duration.Record(ctx, time.Since(start).Seconds(), labels("endpoint", name))
			return response, err
		}
	}
}
