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

// meterName is the instrumentation scope and the prefix of metric names.
const meterName = "laburnumhollow"

// metrics exports the state of a Source to Prometheus. The state is read on each
// scrape, so that metrics add no cost to the packet path.
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
	// evacuatedServers and evacuatedFlows are reported for each evacuated data centre.
	evacuatedServers, evacuatedFlows metric.Int64ObservableGauge
}

// newMetrics returns the metrics of a Source with their own registry.
func newMetrics(source Source, latency *LatencyHistograms) (*metrics, error) {
	m := &metrics{source: source, registry: prometheus.NewRegistry()}
	exporter, err := otelprom.New(
		otelprom.WithRegisterer(m.registry),
		otelprom.WithNamespace(meterName),
		otelprom.WithoutScopeInfo(),
		otelprom.WithoutTargetInfo(),
	)
	if err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "create the metrics exporter")
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter(meterName)
	if err := m.register(meter, latency); err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "register the metrics")
	}
	return m, nil
}

// register creates the instruments and registers the callback that observes them.
func (m *metrics) register(meter metric.Meter, latency *LatencyHistograms) error {
	b := instrumentBuilder{meter: meter}
	m.ready = b.gauge("ready", "1 while the VM takes packets from the fabric", "")
	m.revision = b.gauge("revision", "revision of the configuration in force", "")
	m.members = b.gauge("members", "VMs of the group by their state", "")
	m.flows = b.gauge("table.flows", "records in the flow table", "")
	m.limit = b.gauge("table.limit", "records that the flow table has room for", "")
	m.bytes = b.gauge("table.size", "memory of the flow table", "By")
	m.pending = b.gauge("table.pending", "records to hand over to other VMs", "")
	m.servers = b.gauge("server.flows", "flows held by this VM to a backend server", "")
	m.work = b.gauge("work.flows", "flows open of a kind of work", "")
	m.admitted = b.counter("work.admitted", "flows admitted of a kind of work")
	m.refused = b.counter("work.refused", "flows refused of a kind of work")
	m.evacuatedServers = b.gauge("evacuation.servers", "backend servers of an evacuated data centre", "")
	m.evacuatedFlows = b.gauge("evacuation.flows", "flows held by this VM to the backend servers of an evacuated data centre", "")
	m.events = b.counter("events", "what has happened since the process started, by name")
	m.requests = b.requestMetrics()
	if latency != nil {
		latency.createInstruments(&b)
	}
	if b.err != nil {
		return b.err
	}
	_, err := meter.RegisterCallback(m.observe, b.observables...)
	return err
}

// handler returns the handler that serves the metrics in Prometheus format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observe reads the Source once and updates all instruments from it.
func (m *metrics) observe(_ context.Context, o metric.Observer) error {
	d := m.source.Dump().truncated()
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
	for _, e := range d.Evacuations {
		o.ObserveInt64(m.evacuatedServers, int64(e.Servers), labels("datacentre", e.DataCentre))
		o.ObserveInt64(m.evacuatedFlows, int64(e.Flows), labels("datacentre", e.DataCentre))
	}
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

// labels returns the attributes of alternating names and values.
func labels(pairs ...string) metric.MeasurementOption {
	var attributes []attribute.KeyValue
	for i := 0; i+1 < len(pairs); i += 2 {
		attributes = append(attributes, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(attributes...)
}

// instrumentBuilder creates instruments and records the first error.
type instrumentBuilder struct {
	meter       metric.Meter
	observables []metric.Observable
	err         error
}

func (b *instrumentBuilder) gauge(name, description, unit string) metric.Int64ObservableGauge {
	g, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description), metric.WithUnit(unit))
	b.recordErr(err)
	b.observables = append(b.observables, g)
	return g
}

func (b *instrumentBuilder) counter(name, description string) metric.Int64ObservableCounter {
	c, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	b.recordErr(err)
	b.observables = append(b.observables, c)
	return c
}

func (b *instrumentBuilder) requestMetrics() requestMetrics {
	count, err := b.meter.Int64Counter("requests", metric.WithDescription("operators' requests by endpoint and result code"))
	b.recordErr(err)
	duration, err := b.meter.Float64Histogram("request.duration", metric.WithDescription("time taken by operators' requests"), metric.WithUnit("s"))
	b.recordErr(err)
	return requestMetrics{count: count, duration: duration}
}

func (b *instrumentBuilder) recordErr(err error) {
	if b.err == nil {
		b.err = err
	}
}
