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

// Hard bounds of an experiment.
const (
	MaxFlows = 20_000
	MaxRate  = 5000 // flows a second
	MaxSpan  = 30 * time.Second
	MaxHold  = 20 * time.Second
	maxBytes = 1 << 20
)

const (
	// experimentPatience is how long a flow may take beyond the time that its
	// pattern and the servers' work need.
	experimentPatience = 5 * time.Second
	// experimentSetup bounds the time to start the fleet and to end it.
	experimentSetup = 20 * time.Second
)

// Experiment runs a load over a fleet while faults and changes happen.
type Experiment struct {
	Layout  Layout
	Pattern Pattern
	// Flows is how many flows are opened, and Rate how many a second; both over all
	// services.
	Flows int
	Rate  float64
	// Span bounds the time in which flows are opened.
	Span time.Duration
	// Hold is the idle time of a held flow, and the whole time of a feed.
	Hold time.Duration
	// Bytes is the size of an answer.
	Bytes  int
	Faults lhstand.Faults
	Events []Event
	// Flood is a second load of another kind; its zero value is none.
	Flood Flood
	// Log gives the log of a VM; nil drops all logs.
	Log func(vm string) zerolog.Logger
}

// check refuses an experiment that is out of bounds.
func (x *Experiment) check() error {
	last := time.Duration(0)
	for _, e := range x.Events {
		if e.At < last {
			return lhcode.Newf(lhcode.Usage, "event %q comes after a later one", e)
		}
		last = e.At
	}
	rules := []struct {
		ok   bool
		text string
	}{
		{x.Flows >= 1 && x.Flows+x.Flood.flows(x) <= MaxFlows, fmt.Sprintf("flows: 1 to %d are allowed, those of a flood included", MaxFlows)},
		{x.Rate > 0 && x.Rate+x.Flood.rate(x) <= MaxRate, fmt.Sprintf("rate: up to %d flows a second are allowed, those of a flood included", MaxRate)},
		{x.Span > 0 && x.Span <= MaxSpan, fmt.Sprintf("span: up to %v is allowed", MaxSpan)},
		{x.Hold >= 0 && x.Hold <= MaxHold, fmt.Sprintf("hold: up to %v is allowed", MaxHold)},
		{x.Bytes >= 0 && x.Bytes <= maxBytes, fmt.Sprintf("bytes: up to %d are allowed", maxBytes)},
		{last <= MaxSpan, fmt.Sprintf("events: within %v", MaxSpan)},
		{x.Flood.Factor == 0 || x.Layout.Work > 0, "a flood needs a work time, by which capacity is known"},
	}
	for _, r := range rules {
		if !r.ok {
			return lhcode.New(lhcode.Usage, r.text)
		}
	}
	return nil
}

// Report is what an experiment has seen.
type Report struct {
	Flows []LoadReport `json:"flows"`
	// Kept says what the steady kind keeps during a flood; nil without one.
	Kept    *Kept         `json:"kept,omitempty"`
	Events  []EventResult `json:"events"`
	Traffic Traffic       `json:"traffic"`
	// Imbalance is the requests of the busiest server over the mean of its service,
	// the highest of all services.
	Imbalance float64 `json:"imbalance"`
	// Repeated counts requests that ran more than once.
	Repeated int      `json:"repeated"`
	Timeline Timeline `json:"timeline"`
}

// LoadReport is what became of one load.
type LoadReport struct {
	Tally
	// Rate is the flows that ended whole, a second of the load's time.
	Rate float64 `json:"rate"`
	// Opening and Latency are times to open a flow and to have a request answered.
	Opening Quantiles `json:"opening"`
	Latency Quantiles `json:"latency"`
}

// Quantiles are times in microseconds.
type Quantiles struct {
	Median int64 `json:"median"`
	High   int64 `json:"p99"`
	Most   int64 `json:"most"`
}

// Run carries out the experiment. It gives the report as far as it came together
// with any error; flows that broke are one.
func (x Experiment) Run(ctx context.Context) (Report, error) {
	if err := x.check(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, x.limit())
	defer cancel()
	x.Layout.Kinds = x.Flood.kinds()
	run := &experimentRun{Experiment: x}
	run.fleet.Log = x.Log
	err := run.carryOut(ctx)
	return run.report, errors.Join(err, run.fleet.Close())
}

// limit bounds the time of the experiment.
func (x *Experiment) limit() time.Duration {
	return experimentSetup + x.span() + x.patience()
}

// span is the time in which flows are opened.
func (x *Experiment) span() time.Duration {
	if x.Flood.Factor > 0 {
		return x.Span
	}
	need := time.Duration(float64(x.Flows)/x.Rate*float64(time.Second)) + samplePeriod
	return min(x.Span, need)
}

// patience is how long one flow may take.
func (x *Experiment) patience() time.Duration {
	const holds = 2
	return holds*x.Hold + x.Layout.Work + experimentPatience
}

// experimentRun is an experiment while it runs.
type experimentRun struct {
	Experiment
	fleet    Fleet
	recorder recorder
	kept     keptCounts
	report   Report
}

// loadEnd is a load that has ended.
type loadEnd struct {
	name   string
	result *lhstand.LoadResult
}

func (r *experimentRun) carryOut(ctx context.Context) error {
	if err := r.fleet.Start(ctx, r.Layout); err != nil {
		return err
	}
	r.fleet.SetFaults(r.Faults)
	r.recorder.start = time.Now()
	sampling, stop := context.WithCancel(ctx)
	sampled := r.recorder.run(sampling, &r.fleet)
	changed := make(chan error, 1)
	go func() {
		var err error
		r.report.Events, err = carryOut(ctx, &r.fleet, r.Events, r.recorder.start)
		changed <- err
	}()
	ends := r.runLoads(ctx)
	err := <-changed
	stop()
	<-sampled
	r.sumUp(ends)
	return errors.Join(err, r.report.verdict())
}

// runLoads runs all loads side by side until each has ended.
func (r *experimentRun) runLoads(ctx context.Context) []loadEnd {
	loads := r.loads()
	ends := make([]loadEnd, len(loads))
	ended := make(chan struct{})
	for i, l := range loads {
		go func() {
			l.OnFlowEnd = r.observe(l)
			ends[i] = loadEnd{l.name, l.run(ctx, &r.fleet, r.recorder.start)}
			ended <- struct{}{}
		}()
	}
	for range loads {
		<-ended
	}
	return ends
}

// observe returns what records the flows of a load.
func (r *experimentRun) observe(l timedLoad) func(lhstand.FlowResult) {
	record := r.recorder.observe(l.name)
	if r.Flood.Factor == 0 || l.flood {
		return record
	}
	return func(e lhstand.FlowResult) {
		record(e)
		r.kept.note(r.Flood.phase(r.Span, e.Started.Sub(r.recorder.start)), e)
	}
}

// timedLoad is a load that begins some time after the start.
type timedLoad struct {
	lhstand.Load
	name  string
	flood bool
	after time.Duration
}

func (l timedLoad) run(ctx context.Context, f *Fleet, start time.Time) *lhstand.LoadResult {
	if !sleepUntil(ctx, start.Add(l.after)) {
		return &lhstand.LoadResult{}
	}
	return l.Run(ctx, &f.fabric)
}

// loads returns the loads of all services, and the flood.
func (r *experimentRun) loads() []timedLoad {
	var loads []timedLoad
	for n := range r.Layout.Services {
		l := r.Pattern.load(r.Hold, r.Bytes)
		l.Service, l.OpenDuration = serviceAt(n), r.Span
		// The first services take what can't be divided evenly.
		l.Flows = (r.Flows + r.Layout.Services - 1 - n) / r.Layout.Services
		l.Concurrency, l.Rate = l.Flows, r.Rate/float64(r.Layout.Services)
		l.Request.ID = serviceName(n)
		l.Timeout = r.patience()
		if r.Flood.Factor > 0 {
			l.Callers = steadyCallers
		}
		if l.Flows > 0 {
			loads = append(loads, timedLoad{Load: l, name: serviceName(n)})
		}
	}
	if r.Flood.Factor > 0 {
		loads = append(loads, r.Flood.load(&r.Experiment))
	}
	return loads
}

func (r *experimentRun) sumUp(ends []loadEnd) {
	for _, e := range ends {
		r.report.Flows = append(r.report.Flows, loadReport(e))
		if e.result.Requests > 0 {
			r.report.Imbalance = max(r.report.Imbalance, e.result.Imbalance())
		}
	}
	r.report.Repeated = r.fleet.repeated()
	r.report.Traffic = r.fleet.traffic()
	r.report.Timeline = r.recorder.line
	if r.Flood.Factor > 0 {
		kept := r.kept.result(r.Span)
		r.report.Kept = &kept
	}
}

func loadReport(e loadEnd) LoadReport {
	l := LoadReport{Tally: tallyOf(e.name, e.result)}
	if e.result.Elapsed > 0 {
		l.Rate = float64(l.Whole) / e.result.Elapsed.Seconds()
	}
	l.Opening = quantiles(e.result.OpenLatency)
	l.Latency = quantiles(e.result.RequestLatency)
	return l
}

// verdict returns an error where something broke.
func (r *Report) verdict() error {
	broken := 0
	for _, l := range r.Flows {
		broken += l.Broken
	}
	if broken > 0 || r.Repeated > 0 {
		return lhcode.Newf(lhcode.FlowsBroken, "flows that broke: %d; requests that ran more than once: %d", broken, r.Repeated)
	}
	return nil
}
