package lhops

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// Times are histograms of how long backend servers take. The zero Times drops what it
// is told until a handler serves it. Its methods may be called from any goroutine.
type Times struct {
	instruments atomic.Pointer[timeInstruments]
}

type timeInstruments struct {
	handshake, answer metric.Float64Histogram
}

// boundaries of the histograms, in seconds: from a handshake within a data centre to
// the longest that callers wait.
var timeBoundaries = metric.WithExplicitBucketBoundaries(
	.002, .005, .01, .02, .04, .08, .15, .25, .5, 1, 2, 5)

// Handshake takes the time from a SYN to the packet that acknowledges its answer.
func (t *Times) Handshake(d time.Duration) {
	if i := t.instruments.Load(); i != nil {
		i.handshake.Record(context.Background(), d.Seconds())
	}
}

// Answer takes the time from a request to the packet that acknowledges its answer.
func (t *Times) Answer(d time.Duration) {
	if i := t.instruments.Load(); i != nil {
		i.answer.Record(context.Background(), d.Seconds())
	}
}

// define makes the instruments.
func (t *Times) define(d *definer) {
	t.instruments.Store(&timeInstruments{
		handshake: d.histogram("flow.handshake", "time from a SYN until the caller acknowledges its answer"),
		answer:    d.histogram("flow.answer", "time from a request until the caller acknowledges its answer"),
	})
}

func (d *definer) histogram(name, text string) metric.Float64Histogram {
	h, err := d.meter.Float64Histogram(name, metric.WithDescription(text), metric.WithUnit("s"), timeBoundaries)
	d.keep(err)
	return h
}
