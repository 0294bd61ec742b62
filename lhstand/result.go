package lhstand

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadResult contains the results of a Load.
type LoadResult struct {
	// Outcomes counts flows by outcome.
	Outcomes [OutcomeCount]int
	// Opened counts established TCP connections, regardless of their outcome.
	Opened int
	// Requests counts requests with a complete response.
	Requests int
	// Servers counts these requests by backend server.
	Servers map[string]int
	// Services counts these requests by the service that answered.
	Services map[string]int
	// OpenLatency is the time from SYN to established connection, in microseconds.
	OpenLatency *hdrhistogram.Histogram
	// RequestLatency is the time from request to complete response, in microseconds.
	RequestLatency *hdrhistogram.Histogram
	Elapsed        time.Duration
}

// Range of recorded times in microseconds, and their significant figures.
const (
	minMicroseconds    = 1
	maxMicroseconds    = 600_000_000
	significantFigures = 3
)

func newLoadResult() *LoadResult {
	return &LoadResult{
		Servers:        make(map[string]int),
		Services:       make(map[string]int),
		OpenLatency:    hdrhistogram.New(minMicroseconds, maxMicroseconds, significantFigures),
		RequestLatency: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantFigures),
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

// Broken returns the number of flows that ended neither Completed nor Refused.
func (r *LoadResult) Broken() int {
	return r.Flows() - r.Outcomes[Completed] - r.Outcomes[Refused]
}

// Imbalance returns the ratio of the busiest server's requests to the mean of all
// servers. 1 is an even distribution; 0 means that no request was answered.
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

// WriteTo implements io.WriterTo. It writes a human-readable summary.
func (r *LoadResult) WriteTo(w io.Writer) (int64, error) {
	text := fmt.Sprintf("%d flows in %v, %d opened, %d requests answered\n",
		r.Flows(), r.Elapsed.Round(time.Millisecond), r.Opened, r.Requests)
	for o := Completed; o < OutcomeCount; o++ {
		text += fmt.Sprintf("  %-9s %d\n", o.String(), r.Outcomes[o])
	}
	text += formatHistogram("opening", r.OpenLatency) + formatHistogram("latency", r.RequestLatency)
	text += fmt.Sprintf("busiest server %.2f times the mean of %d\n", r.Imbalance(), len(r.Servers))
	n, err := io.WriteString(w, text)
	return int64(n), err
}

func formatHistogram(name string, h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%s: median %v, 99%% %v, longest %v\n",
		name, microseconds(h.ValueAtQuantile(50)), microseconds(h.ValueAtQuantile(99)), microseconds(h.Max()))
}

func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}

func (r *LoadResult) recordOpen(elapsed time.Duration) {
	r.Opened++
	recordDuration(r.OpenLatency, elapsed)
}

func (r *LoadResult) recordReply(reply Reply, elapsed time.Duration) {
	r.Requests++
	r.Servers[reply.Server]++
	r.Services[reply.Service]++
	recordDuration(r.RequestLatency, elapsed)
}

// recordDuration records a time, clamped to the range of the histogram.
func recordDuration(h *hdrhistogram.Histogram, elapsed time.Duration) {
	_ = h.RecordValue(max(minMicroseconds, min(elapsed.Microseconds(), maxMicroseconds)))
}

// Add merges another result into r, which may be the zero LoadResult.
func (r *LoadResult) Add(other *LoadResult) {
	if r.OpenLatency == nil {
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
	r.OpenLatency.Merge(other.OpenLatency)
	r.RequestLatency.Merge(other.RequestLatency)
}
