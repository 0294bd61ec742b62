package lhdemo

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// samplePeriod is the time between two points of a timeline.
const samplePeriod = 100 * time.Millisecond

// Series is a number over time, one value every samplePeriod.
type Series struct {
	Name   string    `json:"name"`
	Values []float64 `json:"values"`
}

// add adds to the value at a time since the start.
func (s *Series) add(after time.Duration, x float64) {
	i := int(max(after, 0) / samplePeriod)
	for len(s.Values) <= i {
		s.Values = append(s.Values, 0)
	}
	s.Values[i] += x
}

// Timeline is how an experiment went over time.
type Timeline struct {
	// Ended counts flows that ended, a second, by load and outcome.
	Ended []*Series `json:"ended"`
	// Held is the flows at each backend server.
	Held []*Series `json:"held"`
	// Packets is what each VM received, a second.
	Packets []*Series `json:"packets"`
}

// recorder records the timeline of a fleet.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	line  Timeline
	// packets are the packets that each VM had received at the last sample.
	packets []uint64
}

// observe returns what records the flows of a load.
func (r *recorder) observe(load string) func(lhstand.FlowResult) {
	words := []string{"whole", "refused", "broken"}
	series := make([]*Series, len(words))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, word := range words {
		series[i] = &Series{Name: load + " " + word}
	}
	r.line.Ended = append(r.line.Ended, series...)
	return func(e lhstand.FlowResult) {
		i := len(words) - 1
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

// run takes samples until the context ends, and then closes the channel.
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

func (r *recorder) sample(f *Fleet, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range f.Servers() {
		if i == len(r.line.Held) {
			r.line.Held = append(r.line.Held, &Series{Name: s.Name})
		}
		r.line.Held[i].add(after, float64(s.Flows()))
	}
	for i, vm := range f.VMs() {
		if i == len(r.line.Packets) {
			r.line.Packets = append(r.line.Packets, &Series{Name: vm.Name()})
			r.packets = append(r.packets, 0)
		}
		now := vm.Dump().Counters["packets_received"]
		rate := float64(now-r.packets[i]) * float64(time.Second/samplePeriod)
		r.line.Packets[i].add(after, rate)
		r.packets[i] = now
	}
}
