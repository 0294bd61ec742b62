package lhdemo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// Limits of an experiment.
const (
	MaxFlows = 20_000
	MaxRate  = 5000 // flows per second
	MaxSpan  = 30 * time.Second
	MaxHold  = 20 * time.Second
	maxBytes = 1 << 20
)

const (
	// flowTimeMargin is the time allowed for a flow beyond what its pattern and the
	// work of the servers take.
	flowTimeMargin = 5 * time.Second
	// setupTimeout limits the time to start and to stop the fleet.
	setupTimeout = 20 * time.Second
)

// Experiment runs a load against a fleet, with fault injection and planned changes.
type Experiment struct {
	Layout  Layout
	Pattern Pattern
	// Flows is the number of flows and Rate the number opened per second; both are
	// totals over all services.
	Flows int
	Rate  float64
	// Span limits the time during which flows are opened.
	Span time.Duration
	// Hold is the idle time of a flow with PatternHold, and the duration of a feed.
	Hold time.Duration
	// Bytes is the size of a response.
	Bytes  int
	Faults lhstand.Faults
	Events []Event
	// Flood is an additional overload of a second kind of work; its zero value adds
	// none.
	Flood Flood
	// Log returns the logger of a VM; nil discards all logs.
	Log func(vm string) zerolog.Logger
}

// validate returns a usage error if the experiment exceeds a limit.
func (x *Experiment) validate() error {
	last := time.Duration(0)
	for _, e := range x.Events {
		if e.At < last {
			return lhcode.Newf(lhcode.Usage, "event %q: earlier than the event before it", e)
		}
		last = e.At
	}
	rules := []struct {
		ok   bool
		text string
	}{
		{x.Flows >= 1 && x.Flows+x.Flood.flows(x) <= MaxFlows, fmt.Sprintf("flows: must be 1 to %d, including those of the flood", MaxFlows)},
		{x.Rate > 0 && x.Rate+x.Flood.rate(x) <= MaxRate, fmt.Sprintf("rate: must be positive and at most %d flows per second, including those of the flood", MaxRate)},
		{x.Span > 0 && x.Span <= MaxSpan, fmt.Sprintf("span: must be positive and at most %v", MaxSpan)},
		{x.Hold >= 0 && x.Hold <= MaxHold, fmt.Sprintf("hold: must be 0 to %v", MaxHold)},
		{x.Bytes >= 0 && x.Bytes <= maxBytes, fmt.Sprintf("bytes: must be 0 to %d", maxBytes)},
		{last <= MaxSpan, fmt.Sprintf("events: must start within %v", MaxSpan)},
		{x.Flood.Factor >= 0, "flood: must not be negative"},
		{x.Flood.Factor == 0 || x.Layout.Work > 0, "flood: needs a positive work time to compute the capacity"},
	}
	for _, r := range rules {
		if !r.ok {
			return lhcode.New(lhcode.Usage, r.text)
		}
	}
	return nil
}

// Report is the result of an experiment.
type Report struct {
	Flows []LoadReport `json:"flows"`
	// FloodImpact shows how a flood affected the steady kind; nil without a flood.
	FloodImpact *FloodImpact  `json:"kept,omitempty"`
	Events      []EventResult `json:"events"`
	Traffic     Traffic       `json:"traffic"`
	// Imbalance is the ratio of the requests of the busiest server to the mean of its
	// service, taken from the service with the highest ratio.
	Imbalance float64 `json:"imbalance"`
	// RepeatedRequests counts requests that were executed more than once.
	RepeatedRequests int      `json:"repeated"`
	Timeline         Timeline `json:"timeline"`
}

// LoadReport is the result of one load.
type LoadReport struct {
	FlowCounts
	// Goodput is the number of flows completed per second of the load's duration.
	Goodput float64 `json:"rate"`
	// Opening and Latency are the times to open a flow and to answer a request.
	Opening Quantiles `json:"opening"`
	Latency Quantiles `json:"latency"`
}

// Quantiles summarizes a distribution of times, in microseconds.
type Quantiles struct {
	Median int64 `json:"median"`
	P99    int64 `json:"p99"`
	Max    int64 `json:"most"`
}

// Run runs the experiment. Broken flows are an error. On an error, Run returns the
// partial report too.
func (x Experiment) Run(ctx context.Context) (Report, error) {
	if err := x.validate(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, x.timeout())
	defer cancel()
	x.Layout.Kinds = x.Flood.kinds()
	run := &experimentRun{Experiment: x}
	run.fleet.Log = x.Log
	err := run.run(ctx)
	return run.report, errors.Join(err, run.fleet.Close())
}

// timeout limits the duration of the experiment.
func (x *Experiment) timeout() time.Duration {
	return setupTimeout + x.openingTime() + x.flowTimeout()
}

// openingTime is the time during which flows are opened.
func (x *Experiment) openingTime() time.Duration {
	if x.Flood.Factor > 0 {
		return x.Span
	}
	needed := time.Duration(float64(x.Flows)/x.Rate*float64(time.Second)) + samplePeriod
	return min(x.Span, needed)
}

// flowTimeout limits the duration of a flow.
func (x *Experiment) flowTimeout() time.Duration {
	const holdsPerFlow = 2
	return holdsPerFlow*x.Hold + x.Layout.Work + flowTimeMargin
}

// experimentRun is the state of a running experiment.
type experimentRun struct {
	Experiment
	fleet    Fleet
	recorder recorder
	steady   steadyCounts
	report   Report
}

// finishedLoad is the result of a load with the load's name.
type finishedLoad struct {
	name   string
	result *lhstand.LoadResult
}

func (r *experimentRun) run(ctx context.Context) error {
	if err := r.fleet.Start(ctx, r.Layout); err != nil {
		return err
	}
	r.fleet.SetFaults(r.Faults)
	r.recorder.start = time.Now()
	sampling, stop := context.WithCancel(ctx)
	sampled := r.recorder.run(sampling, &r.fleet)
	eventsDone := make(chan error, 1)
	go func() {
		var err error
		r.report.Events, err = runEvents(ctx, &r.fleet, r.Events, r.recorder.start)
		eventsDone <- err
	}()
	loads := r.runLoads(ctx)
	err := <-eventsDone
	stop()
	<-sampled
	r.summarize(loads)
	return errors.Join(err, r.report.checkFlows())
}

// runLoads runs all loads concurrently and waits for them.
func (r *experimentRun) runLoads(ctx context.Context) []finishedLoad {
	loads := r.loads()
	finished := make([]finishedLoad, len(loads))
	done := make(chan struct{})
	for i, l := range loads {
		go func() {
			l.OnFlowEnd = r.observer(l)
			finished[i] = finishedLoad{l.name, l.run(ctx, &r.fleet, r.recorder.start)}
			done <- struct{}{}
		}()
	}
	for range loads {
		<-done
	}
	return finished
}

// observer returns a function that records the flows of a load.
func (r *experimentRun) observer(l scheduledLoad) func(lhstand.FlowResult) {
	record := r.recorder.observer(l.name)
	if r.Flood.Factor == 0 || l.flood {
		return record
	}
	return func(e lhstand.FlowResult) {
		record(e)
		r.steady.record(r.Flood.phase(r.Span, e.Started.Sub(r.recorder.start)), e)
	}
}

// scheduledLoad is a load that starts after a delay.
type scheduledLoad struct {
	lhstand.Load
	name  string
	flood bool
	delay time.Duration
}

func (l scheduledLoad) run(ctx context.Context, f *Fleet, start time.Time) *lhstand.LoadResult {
	if !sleepUntil(ctx, start.Add(l.delay)) {
		return &lhstand.LoadResult{}
	}
	return l.Run(ctx, &f.fabric)
}

// loads returns the load of each service, and that of the flood.
func (r *experimentRun) loads() []scheduledLoad {
	var loads []scheduledLoad
	for n := range r.Layout.Services {
		l := r.Pattern.load(r.Hold, r.Bytes)
		l.Service, l.OpenDuration = serviceAt(n), r.Span
		// The first services take the remainder of the division.
		l.Flows = (r.Flows + r.Layout.Services - 1 - n) / r.Layout.Services
		l.Concurrency, l.Rate = l.Flows, r.Rate/float64(r.Layout.Services)
		l.Request.ID = serviceName(n)
		l.Timeout = r.flowTimeout()
		if r.Flood.Factor > 0 {
			l.Callers = steadyCallers
		}
		if l.Flows > 0 {
			loads = append(loads, scheduledLoad{Load: l, name: serviceName(n)})
		}
	}
	if r.Flood.Factor > 0 {
		loads = append(loads, r.Flood.load(&r.Experiment))
	}
	return loads
}

func (r *experimentRun) summarize(loads []finishedLoad) {
	for _, e := range loads {
		r.report.Flows = append(r.report.Flows, newLoadReport(e))
		if e.result.Requests > 0 {
			r.report.Imbalance = max(r.report.Imbalance, e.result.Imbalance())
		}
	}
	r.report.RepeatedRequests = r.fleet.repeatedRequests()
	r.report.Traffic = r.fleet.traffic()
	r.report.Timeline = r.recorder.timeline
	if r.Flood.Factor > 0 {
		impact := r.steady.result(r.Span)
		r.report.FloodImpact = &impact
	}
}

func newLoadReport(e finishedLoad) LoadReport {
	l := LoadReport{FlowCounts: newFlowCounts(e.name, e.result)}
	if e.result.Elapsed > 0 {
		l.Goodput = float64(l.Completed) / e.result.Elapsed.Seconds()
	}
	l.Opening = quantiles(e.result.OpenLatency)
	l.Latency = quantiles(e.result.RequestLatency)
	return l
}

// checkFlows returns an error if a flow broke or a request was executed more than
// once.
func (r *Report) checkFlows() error {
	broken := 0
	for _, l := range r.Flows {
		broken += l.Broken
	}
	if broken > 0 || r.RepeatedRequests > 0 {
		return lhcode.Newf(lhcode.FlowsBroken, "broken flows: %d; requests executed more than once: %d", broken, r.RepeatedRequests)
	}
	return nil
}
