package lhops

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// LatencyHistograms holds histograms of the response times of backend servers. The
// zero value discards measurements until a handler serves it. Its methods are safe for
// concurrent use.
type LatencyHistograms struct {
	instruments atomic.Pointer[latencyInstruments]
}

type latencyInstruments struct {
	handshake, answer metric.Float64Histogram
}

// latencyBuckets are the bucket boundaries in seconds. They range from a handshake
// within a data centre to the longest time that callers wait.
var latencyBuckets = metric.WithExplicitBucketBoundaries(
	.002, .005, .01, .02, .04, .08, .15, .25, .5, 1, 2, 5)

// RecordHandshake records the time from a SYN to the packet that acknowledges the
// SYN-ACK.
func (h *LatencyHistograms) RecordHandshake(d time.Duration) {
	if i := h.instruments.Load(); i != nil {
		i.handshake.Record(context.Background(), d.Seconds())
	}
}

// RecordResponse records the time from a request to the packet that acknowledges its
// response.
func (h *LatencyHistograms) RecordResponse(d time.Duration) {
	if i := h.instruments.Load(); i != nil {
		i.answer.Record(context.Background(), d.Seconds())
	}
}

// createInstruments creates the histograms and starts recording.
func (h *LatencyHistograms) createInstruments(b *instrumentBuilder) {
	h.instruments.Store(&latencyInstruments{
		handshake: b.histogram("flow.handshake", "time from a SYN until the caller acknowledges its answer"),
		answer:    b.histogram("flow.answer", "time from a request until the caller acknowledges its answer"),
	})
}

func (b *instrumentBuilder) histogram(name, description string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"), latencyBuckets)
	b.recordErr(err)
	return h
}
