package lhops

import (
	"context"
	"net/http"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// meterName is the scope of the instruments and the prefix of their names.
const meterName = "laburnumhollow"

// metrics offers the numbers of a Source to Prometheus. They are read when a
// scrape comes, so the packet path pays nothing for them.
type metrics struct {
	source   Source
	registry *prometheus.Registry
	requests requestMetrics

	ready    metric.Int64ObservableGauge
	revision metric.Int64ObservableGauge
	members  metric.Int64ObservableGauge
	flows    metric.Int64ObservableGauge
	limit    metric.Int64ObservableGauge
	bytes    metric.Int64ObservableGauge
	pending  metric.Int64ObservableGauge
	servers  metric.Int64ObservableGauge
	work     metric.Int64ObservableGauge
	admitted metric.Int64ObservableCounter
	refused  metric.Int64ObservableCounter
	events   metric.Int64ObservableCounter
}

// newMetrics returns the metrics of a Source, in a registry of their own.
func newMetrics(source Source, times *Times) (*metrics, error) {
	m := &metrics{source: source, registry: prometheus.NewRegistry()}
	exporter, err := otelprom.New(
		otelprom.WithRegisterer(m.registry),
		otelprom.WithNamespace(meterName),
		otelprom.WithoutScopeInfo(),
		otelprom.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "make the metrics exporter")
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter(meterName)
	if err := m.define(meter, times); err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "define the metrics")
	}
	return m, nil
}

// define makes the instruments and registers what is observed by them.
func (m *metrics) define(meter metric.Meter, times *Times) error {
	d := definer{meter: meter}
	m.ready = d.gauge("ready", "1 while the VM takes packets from the fabric", "")
	m.revision = d.gauge("revision", "revision of the configuration in force", "")
	m.members = d.gauge("members", "VMs of the group by their state", "")
	m.flows = d.gauge("table.flows", "records in the flow table", "")
	m.limit = d.gauge("table.limit", "records that the flow table has room for", "")
	m.bytes = d.gauge("table.size", "memory of the flow table", "By")
	m.pending = d.gauge("table.pending", "records to hand over to other VMs", "")
	m.servers = d.gauge("server.flows", "flows held by this VM to a backend server", "")
	m.work = d.gauge("work.flows", "flows open of a kind of work", "")
	m.admitted = d.counter("work.admitted", "flows admitted of a kind of work")
	m.refused = d.counter("work.refused", "flows refused of a kind of work")
	m.events = d.counter("events", "what has happened since the process started, by name")
	m.requests = d.requests()
	if times != nil {
		times.define(&d)
	}
	if d.err != nil {
		return d.err
	}
	_, err := meter.RegisterCallback(m.observe, d.observables...)
	return err
}

// handler serves the metrics in the format of Prometheus.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observe reads the Source once for all instruments.
func (m *metrics) observe(_ context.Context, o metric.Observer) error {
	d := m.source.Dump().bounded()
	ready := int64(0)
	if m.source.Health().Ready() {
		ready = 1
	}
	o.ObserveInt64(m.ready, ready)
	o.ObserveInt64(m.revision, int64(d.Revision))
	o.ObserveInt64(m.flows, int64(d.Table.Flows))
	o.ObserveInt64(m.limit, int64(d.Table.Limit))
	o.ObserveInt64(m.bytes, int64(d.Table.Bytes))
	o.ObserveInt64(m.pending, int64(d.Table.Pending))
	for name, n := range d.Counters {
		o.ObserveInt64(m.events, int64(n), labels("name", name))
	}
	m.observeMembers(o, d)
	m.observeServers(o, d)
	m.observeWork(o, d)
	return nil
}

func (m *metrics) observeMembers(o metric.Observer, d Dump) {
	states := make(map[string]int64)
	for _, member := range d.Members {
		states[member.State.String()]++
	}
	for state, n := range states {
		o.ObserveInt64(m.members, n, labels("state", state))
	}
}

func (m *metrics) observeServers(o metric.Observer, d Dump) {
	for _, s := range d.Services {
		for _, server := range s.Servers {
			o.ObserveInt64(m.servers, int64(server.Flows), labels("service", s.Name, "server", server.Name))
		}
	}
}

func (m *metrics) observeWork(o metric.Observer, d Dump) {
	for _, w := range d.Work {
		kind := labels("service", w.Service, "kind", w.Kind)
		o.ObserveInt64(m.work, int64(w.Flows), kind)
		o.ObserveInt64(m.admitted, int64(w.Admitted), kind)
		o.ObserveInt64(m.refused, int64(w.Refused), kind)
	}
}

// labels returns attributes from names and values in turn.
func labels(pairs ...string) metric.MeasurementOption {
	var attributes []attribute.KeyValue
	for i := 0; i+1 < len(pairs); i += 2 {
		attributes = append(attributes, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(attributes...)
}

// definer makes instruments and keeps the first error.
type definer struct {
	meter       metric.Meter
	observables []metric.Observable
	err         error
}

func (d *definer) gauge(name, text, unit string) metric.Int64ObservableGauge {
	g, err := d.meter.Int64ObservableGauge(name, metric.WithDescription(text), metric.WithUnit(unit))
	d.keep(err)
	d.observables = append(d.observables, g)
	return g
}

func (d *definer) counter(name, text string) metric.Int64ObservableCounter {
	c, err := d.meter.Int64ObservableCounter(name, metric.WithDescription(text))
	d.keep(err)
	d.observables = append(d.observables, c)
	return c
}

func (d *definer) requests() requestMetrics {
	count, err := d.meter.Int64Counter("requests", metric.WithDescription("operators' requests by endpoint and result code"))
	d.keep(err)
	duration, err := d.meter.Float64Histogram("request.duration", metric.WithDescription("time taken by operators' requests"), metric.WithUnit("s"))
	d.keep(err)
	return requestMetrics{count: count, duration: duration}
}

func (d *definer) keep(err error) {
	if d.err == nil {
		d.err = err
	}
}
