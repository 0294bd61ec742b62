package lhdemo

import (
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// Flood is an overload of the first service by one kind of work, during the second
// of three equal phases of an experiment. The steady load is another kind of work
// of the same service and stays within its share.
type Flood struct {
	// Factor is the rate of the flood as a multiple of the service's capacity; 0
	// disables the flood.
	Factor float64
	// Urgent gives the flood a higher urgency than the steady kind instead of a lower
	// one.
	Urgent bool
	// Pattern is the pattern of the flood's flows.
	Pattern Pattern
	// NoKinds omits both kinds from the configuration, so that neither has a share.
	NoKinds bool
}

// The two kinds are distinguished by the addresses of their callers.
var (
	steadyCallers = netip.MustParsePrefix("198.18.0.0/16")
	floodCallers  = netip.MustParsePrefix("198.19.0.0/16")
)

// Urgencies and shares (in percent) of the two kinds.
const (
	steadyUrgency    = 5
	floodUrgencyLow  = 1
	floodUrgencyHigh = 9
	steadyShare      = 60
	floodShare       = 20
)

// floodPhases is the number of equal phases of an experiment.
const floodPhases = 3

func (f Flood) kinds() []Kind {
	if f.Factor == 0 || f.NoKinds {
		return nil
	}
	urgency := floodUrgencyLow
	if f.Urgent {
		urgency = floodUrgencyHigh
	}
	return []Kind{
		{Name: "steady", Callers: steadyCallers, Urgency: steadyUrgency, Share: steadyShare},
		{Name: "flood", Callers: floodCallers, Urgency: urgency, Share: floodShare},
	}
}

// Capacity returns how many requests per second a service of the layout can execute.
func (l Layout) Capacity() float64 {
	return float64(l.Servers*max(l.Slots, 1)) / l.Work.Seconds()
}

// rate returns how many flows the flood opens per second.
func (f Flood) rate(x *Experiment) float64 {
	if f.Factor == 0 || x.Layout.Work == 0 {
		return 0
	}
	return f.Factor * x.Layout.Capacity()
}

// flows returns how many flows the flood opens.
func (f Flood) flows(x *Experiment) int {
	return int(f.rate(x) * (x.Span / floodPhases).Seconds())
}

func (f Flood) load(x *Experiment) scheduledLoad {
	l := f.Pattern.load(x.Hold, x.Bytes)
	l.Service, l.Callers = serviceAt(0), floodCallers
	l.Flows, l.Rate, l.OpenDuration = f.flows(x), f.rate(x), x.Span/floodPhases
	l.Concurrency = l.Flows
	l.Request.ID = "flood"
	l.Timeout = x.flowTimeout()
	return scheduledLoad{Load: l, name: "flood", flood: true, delay: x.Span / floodPhases}
}

// phase returns the phase of an experiment at a time since its start.
func (f Flood) phase(span, at time.Duration) int {
	return min(max(int(at*floodPhases/span), 0), floodPhases-1)
}

// FloodPhase counts the flows of the steady kind that were opened in one phase of
// an experiment, by outcome.
type FloodPhase struct {
	Name string `json:"name"`
	FlowCounts
	// Goodput is the number of completed flows per second.
	Goodput float64 `json:"goodput"`
	// FlowTime is the duration of completed flows, from opening to close.
	FlowTime Quantiles `json:"time"`
}

// FloodImpact shows how a flood affected the steady kind.
type FloodImpact struct {
	// GoodputRatio is the ratio of the goodput during the flood to that before it.
	GoodputRatio float64      `json:"part"`
	Phases       []FloodPhase `json:"phases"`
}

// steadyCounts counts the flows of the steady kind by the phase in which they were
// opened.
type steadyCounts struct {
	mu        sync.Mutex
	phases    [floodPhases]FlowCounts
	flowTimes [floodPhases]*hdrhistogram.Histogram
}

func (c *steadyCounts) record(phase int, e lhstand.FlowResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.phases[phase]
	t.Opened++
	if e.Outcome != lhstand.Completed {
		t.add(e.Outcome)
		return
	}
	t.add(nil)
	if c.flowTimes[phase] == nil {
		c.flowTimes[phase] = hdrhistogram.New(1, MaxSpan.Microseconds(), histogramDigits)
	}
	_ = c.flowTimes[phase].RecordValue(min(e.Ended.Sub(e.Started).Microseconds(), MaxSpan.Microseconds()))
}

// histogramDigits is the number of significant digits of recorded times.
const histogramDigits = 3

func (c *steadyCounts) result(span time.Duration) FloodImpact {
	c.mu.Lock()
	defer c.mu.Unlock()
	var impact FloodImpact
	for i, name := range []string{"before the flood", "during the flood", "after the flood"} {
		t := c.phases[i]
		t.Pattern = "steady"
		goodput := float64(t.Completed) / (span / floodPhases).Seconds()
		impact.Phases = append(impact.Phases, FloodPhase{Name: name, FlowCounts: t, Goodput: goodput, FlowTime: quantiles(c.flowTimes[i])})
	}
	if before := impact.Phases[0].Goodput; before > 0 {
		impact.GoodputRatio = impact.Phases[1].Goodput / before
	}
	return impact
}
