package lhstand

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadResult is how the flows of a Load went.
type LoadResult struct {
	// Outcomes counts flows by how they ended.
	Outcomes [OutcomeCount]int
	// Opened counts TCP connections that were opened, whatever became of them.
	Opened int
	// Requests counts requests that were answered whole.
	Requests int
	// Servers counts these requests by backend server.
	Servers map[string]int
	// Services counts them by the service that answered.
	Services map[string]int
	// Opening is the time from SYN to open connection and Latency that from request
	// to whole answer, both in microseconds.
	Opening *hdrhistogram.Histogram
	Latency *hdrhistogram.Histogram
	Elapsed time.Duration
}

// Bounds of the recorded times in microseconds, and their significant figures.
const (
	minRecorded     = 1
	maxRecorded     = 600_000_000
	recordedFigures = 3
)

func newLoadResult() *LoadResult {
	return &LoadResult{
		Servers:  make(map[string]int),
		Services: make(map[string]int),
		Opening:  hdrhistogram.New(minRecorded, maxRecorded, recordedFigures),
		Latency:  hdrhistogram.New(minRecorded, maxRecorded, recordedFigures),
	}
}

// Flows returns the number of flows.
func (r *LoadResult) Flows() int {
	var sum int
	for _, n := range r.Outcomes {
		sum += n
	}
	return sum
}

// Broken returns the number of flows that ended neither whole nor refused.
func (r *LoadResult) Broken() int {
	return r.Flows() - r.Outcomes[Whole] - r.Outcomes[Refused]
}

// Imbalance returns how many times the mean of all servers the busiest one has
// answered; 1 is even, and 0 means that there were no answers.
func (r *LoadResult) Imbalance() float64 {
	var busiest int
	for _, n := range r.Servers {
		busiest = max(busiest, n)
	}
	if r.Requests == 0 {
		return 0
	}
	return float64(busiest) * float64(len(r.Servers)) / float64(r.Requests)
}

// WriteTo writes the result for people to read.
func (r *LoadResult) WriteTo(w io.Writer) (int64, error) {
	text := fmt.Sprintf("%d flows in %v, %d opened, %d requests answered\n",
		r.Flows(), r.Elapsed.Round(time.Millisecond), r.Opened, r.Requests)
	for o := Whole; o < OutcomeCount; o++ {
		text += fmt.Sprintf("  %-9s %d\n", o.String(), r.Outcomes[o])
	}
	text += row("opening", r.Opening) + row("latency", r.Latency)
	text += fmt.Sprintf("busiest server %.2f times the mean of %d\n", r.Imbalance(), len(r.Servers))
	n, err := io.WriteString(w, text)
	return int64(n), err
}

func row(name string, h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%s: median %v, 99%% %v, longest %v\n",
		name, recorded(h.ValueAtQuantile(50)), recorded(h.ValueAtQuantile(99)), recorded(h.Max()))
}

func recorded(microseconds int64) time.Duration {
	return time.Duration(microseconds) * time.Microsecond
}

func (r *LoadResult) open(took time.Duration) {
	r.Opened++
	record(r.Opening, took)
}

func (r *LoadResult) answered(reply Reply, took time.Duration) {
	r.Requests++
	r.Servers[reply.Server]++
	r.Services[reply.Service]++
	record(r.Latency, took)
}

// record records a time, cut to the bounds.
func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(max(minRecorded, min(took.Microseconds(), maxRecorded)))
}

// Add adds the flows of another result; the zero LoadResult holds none.
func (r *LoadResult) Add(other *LoadResult) {
	if r.Opening == nil {
		*r = *newLoadResult()
	}
	r.Elapsed += other.Elapsed
	for o, n := range other.Outcomes {
		r.Outcomes[o] += n
	}
	r.Opened += other.Opened
	r.Requests += other.Requests
	for name, n := range other.Servers {
		r.Servers[name] += n
	}
	for name, n := range other.Services {
		r.Services[name] += n
	}
	r.Opening.Merge(other.Opening)
	r.Latency.Merge(other.Latency)
}
