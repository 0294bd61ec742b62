package lhdemo

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles of Quantiles.
const (
	medianPercentile = 50
	highPercentile   = 99
)

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h == nil {
		return Quantiles{}
	}
	return Quantiles{
		Median: h.ValueAtQuantile(medianPercentile),
		P99:    h.ValueAtQuantile(highPercentile),
		Max:    h.Max(),
	}
}

// String returns the times in milliseconds.
func (q Quantiles) String() string {
	return fmt.Sprintf("%s / %s / %s", milliseconds(q.Median), milliseconds(q.P99), milliseconds(q.Max))
}

func milliseconds(microseconds int64) string {
	return fmt.Sprintf("%.1f", float64(microseconds)/float64(time.Millisecond/time.Microsecond))
}

// WriteText writes the report as tab-separated columns.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprint(w, "flows\topened\twhole\trefused\tbroken\twhole/s\topening ms (median / 99% / most)\trequest ms\n")
	for _, l := range r.Flows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\t%v\t%v\n",
			l.Pattern, l.Opened, l.Completed, l.Refused, l.Broken, l.Goodput, l.Opening, l.Latency)
	}
	r.writeSteadyKind(w)
	r.writeEvents(w)
	fmt.Fprintf(w, "\nbusiest server / mean of its service\t%.2f\n", r.Imbalance)
	fmt.Fprintf(w, "requests that ran more than once\t%d\n", r.RepeatedRequests)
	r.Traffic.writeText(w)
}

func (r *Report) writeSteadyKind(w io.Writer) {
	if r.FloodImpact == nil {
		return
	}
	fmt.Fprint(w, "\nsteady kind\topened\twhole\trefused\tbroken\twhole/s\tflow ms (median / 99% / most)\n")
	for _, p := range r.FloodImpact.Phases {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%v\n", p.Name, p.Opened, p.Completed, p.Refused, p.Broken, p.Goodput, p.FlowTime)
	}
	fmt.Fprintf(w, "goodput during / before\t%.3f\n", r.FloodImpact.GoodputRatio)
}

func (r *Report) writeEvents(w io.Writer) {
	if len(r.Events) == 0 {
		return
	}
	fmt.Fprint(w, "\nevent\tat\ttook\n")
	for _, e := range r.Events {
		fmt.Fprintf(w, "%s\t%d ms\t%d ms\t%s\n", e.Event, e.StartMs, e.DurationMs, e.Error)
	}
}
