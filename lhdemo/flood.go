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
	// Undeclared omits both kinds from the configuration, so that neither has a share.
	Undeclared bool
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

func (d Flood) kinds() []Kind {
	if d.Factor == 0 || d.Undeclared {
		return nil
	}
	urgency := floodUrgencyLow
	if d.Urgent {
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
func (d Flood) rate(x *Experiment) float64 {
	if d.Factor == 0 || x.Layout.Work == 0 {
		return 0
	}
	return d.Factor * x.Layout.Capacity()
}

// flows returns how many flows the flood opens.
func (d Flood) flows(x *Experiment) int {
	return int(d.rate(x) * (x.Span / floodPhases).Seconds())
}

func (d Flood) load(x *Experiment) scheduledLoad {
	l := d.Pattern.load(x.Hold, x.Bytes)
	l.Service, l.Callers = serviceAt(0), floodCallers
	l.Flows, l.Rate, l.Span = d.flows(x), d.rate(x), x.Span/floodPhases
	l.Parallel = l.Flows
	l.Request.ID = "flood"
	l.Patience = x.flowTimeout()
	return scheduledLoad{Load: l, name: "flood", flood: true, delay: x.Span / floodPhases}
}

// phase returns the phase of an experiment at a time since its start.
func (d Flood) phase(span, at time.Duration) int {
	return min(max(int(at*floodPhases/span), 0), floodPhases-1)
}

// Phase counts the flows of the steady kind that were opened in one phase of an
// experiment, by outcome.
type Phase struct {
	Name string `json:"name"`
	FlowCounts
	// Goodput is the number of completed flows per second.
	Goodput float64 `json:"goodput"`
	// Time is the duration of completed flows, from opening to close.
	Time Quantiles `json:"time"`
}

// Kept shows how a flood affected the steady kind.
type Kept struct {
	// Part is the ratio of the goodput during the flood to that before it.
	Part   float64 `json:"part"`
	Phases []Phase `json:"phases"`
}

// steadyCounts counts the flows of the steady kind by the phase in which they were
// opened.
type steadyCounts struct {
	mu        sync.Mutex
	phases    [floodPhases]FlowCounts
	flowTimes [floodPhases]*hdrhistogram.Histogram
}

func (k *steadyCounts) record(phase int, e lhstand.Ending) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t := &k.phases[phase]
	t.Opened++
	if e.Outcome != lhstand.Whole {
		t.add(e.Outcome)
		return
	}
	t.add(nil)
	if k.flowTimes[phase] == nil {
		k.flowTimes[phase] = hdrhistogram.New(1, MaxSpan.Microseconds(), histogramDigits)
	}
	_ = k.flowTimes[phase].RecordValue(min(e.Ended.Sub(e.Began).Microseconds(), MaxSpan.Microseconds()))
}

// histogramDigits is the number of significant digits of recorded times.
const histogramDigits = 3

func (k *steadyCounts) result(span time.Duration) Kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	var kept Kept
	for i, name := range []string{"before the flood", "during the flood", "after the flood"} {
		t := k.phases[i]
		t.Pattern = "steady"
		goodput := float64(t.Completed) / (span / floodPhases).Seconds()
		kept.Phases = append(kept.Phases, Phase{Name: name, FlowCounts: t, Goodput: goodput, Time: quantiles(k.flowTimes[i])})
	}
	if before := kept.Phases[0].Goodput; before > 0 {
		kept.Part = kept.Phases[1].Goodput / before
	}
	return kept
}
