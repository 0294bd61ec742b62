package lhdemo

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// samplePeriod is the interval between two values of a series.
const samplePeriod = 100 * time.Millisecond

// Series is a time series with one value every samplePeriod.
type Series struct {
	Name   string    `json:"name"`
	Values []float64 `json:"values"`
}

// add increases the value at a time since the start.
func (s *Series) add(elapsed time.Duration, x float64) {
	i := int(max(elapsed, 0) / samplePeriod)
	for len(s.Values) <= i {
		s.Values = append(s.Values, 0)
	}
	s.Values[i] += x
}

// Timeline holds the time series of an experiment.
type Timeline struct {
	// EndedFlows is the rate of flows that ended, per second, by load and outcome.
	EndedFlows []*Series `json:"ended"`
	// OpenFlows is the number of open flows of each backend server.
	OpenFlows []*Series `json:"held"`
	// ReceivedPackets is the rate of packets received by each VM, per second.
	ReceivedPackets []*Series `json:"packets"`
}

// recorder records the timeline of a fleet.
type recorder struct {
	start    time.Time
	mu       sync.Mutex
	timeline Timeline
	// receivedPackets is the count of packets received by each VM at the last sample.
	receivedPackets []uint64
}

// observer returns a function that records the flows of a load.
func (r *recorder) observer(load string) func(lhstand.FlowResult) {
	outcomes := []string{"whole", "refused", "broken"}
	series := make([]*Series, len(outcomes))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, word := range outcomes {
		series[i] = &Series{Name: load + " " + word}
	}
	r.timeline.EndedFlows = append(r.timeline.EndedFlows, series...)
	return func(e lhstand.FlowResult) {
		i := len(outcomes) - 1
		switch e.Outcome {
		case lhstand.Completed:
			i = 0
		case lhstand.Refused:
			i = 1
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		series[i].add(e.Ended.Sub(r.start), float64(time.Second/samplePeriod))
	}
}

// run samples the fleet until the context ends, and then closes the returned channel.
func (r *recorder) run(ctx context.Context, f *Fleet) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for n := time.Duration(1); sleepUntil(ctx, r.start.Add(n*samplePeriod)); n++ {
			r.sample(f, (n-1)*samplePeriod)
		}
	}()
	return ended
}

func (r *recorder) sample(f *Fleet, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range f.Servers() {
		if i == len(r.timeline.OpenFlows) {
			r.timeline.OpenFlows = append(r.timeline.OpenFlows, &Series{Name: s.Name})
		}
		r.timeline.OpenFlows[i].add(elapsed, float64(s.Flows()))
	}
	for i, vm := range f.VMs() {
		if i == len(r.timeline.ReceivedPackets) {
			r.timeline.ReceivedPackets = append(r.timeline.ReceivedPackets, &Series{Name: vm.Name()})
			r.receivedPackets = append(r.receivedPackets, 0)
		}
		now := vm.Dump().Counters["packets_received"]
		rate := float64(now-r.receivedPackets[i]) * float64(time.Second/samplePeriod)
		r.timeline.ReceivedPackets[i].add(elapsed, rate)
		r.receivedPackets[i] = now
	}
}
