package lhdemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// DemoTimeout is the time limit of a demo.
const DemoTimeout = 20 * time.Second

// Load of the demo, and the VM that it stops.
const (
	demoIdleFlows    = 40
	demoFeedFlows    = 4
	demoLineInterval = 20 * time.Millisecond
	demoRate         = 100 // flows per second
	// demoBatchFlows is how many short flows are opened between two checks for the
	// end of the demo.
	demoBatchFlows = 10
	// demoObserveTime is how long the flows run between two changes.
	demoObserveTime = time.Second
	demoVM          = "vm1"
)

// DemoResult is the result of a demo.
type DemoResult struct {
	Steps []Step       `json:"steps"`
	Flows []FlowCounts `json:"flows"`
	// VMsPerFlow is the range, over all idle flows and feeds, of the number of VMs
	// that received packets of the flow from its caller.
	VMsPerFlow Range `json:"crossed"`
	// DrainedServer names the drained backend server; LateFlows counts the flows that
	// it accepted after demoObserveTime had passed since all VMs applied the drain.
	DrainedServer string  `json:"drained"`
	LateFlows     int     `json:"late"`
	Traffic       Traffic `json:"traffic"`
	// RepeatedRequests counts requests that were executed more than once.
	RepeatedRequests int `json:"repeated"`
}

// Step is a completed step of a demo.
type Step struct {
	Name string `json:"name"`
	// DurationMs is the duration of the step in milliseconds.
	DurationMs int64 `json:"ms"`
}

// Range is a closed range of numbers.
type Range struct {
	Min int `json:"least"`
	Max int `json:"most"`
}

// demo is the state of a running demo.
type demo struct {
	fleet     Fleet
	result    DemoResult
	idleFlows []idleFlow
	feedFlows []*feedFlow
	// stopShortFlows ends the opening of short flows; their total is then sent on
	// shortFlows.
	stopShortFlows context.CancelFunc
	shortFlows     chan *lhstand.LoadResult
}

// RunDemo runs a fleet of three data centres, drains a backend server, stops a VM
// gracefully and replaces it, with flows open throughout. On an error, it returns
// the partial result too.
func RunDemo(ctx context.Context, log func(vm string) zerolog.Logger) (DemoResult, error) {
	ctx, cancel := context.WithTimeout(ctx, DemoTimeout)
	defer cancel()
	d := &demo{}
	d.fleet.Log = log
	err := d.run(ctx)
	return d.result, errors.Join(err, d.fleet.Close())
}

func (d *demo) run(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"start 3 VMs in 3 data centres", d.start},
		{fmt.Sprintf("open %d idle flows and %d feeds; %d more a second", demoIdleFlows, demoFeedFlows, demoRate), d.openFlows},
		{"drain a backend server", d.drain},
		{"open more flows", d.awaitPlacedFlows},
		{"stop " + demoVM + " as planned", d.stopVM},
		{"replace it", d.replace},
		{"open more flows", observeFlows},
		{"use and close all flows", d.closeFlows},
	}
	for _, s := range steps {
		began := time.Now()
		if err := s.run(ctx); err != nil {
			return lhcode.Wrap(lhcode.Of(err), err, s.name)
		}
		d.result.Steps = append(d.result.Steps, Step{Name: s.name, DurationMs: time.Since(began).Milliseconds()})
	}
	return nil
}

func (d *demo) start(ctx context.Context) error {
	return d.fleet.Start(ctx, Layout{DataCentres: 3, VMs: 3, Services: 2, Servers: 4, Slots: 8, Seed: 1})
}

func (d *demo) openFlows(ctx context.Context) error {
	for n := range demoFeedFlows {
		feed, err := openFeed(ctx, &d.fleet, n%2, fmt.Sprint("feed-", n), demoLineInterval)
		if err != nil {
			return lhcode.Wrap(lhcode.FlowsBroken, err, "open a feed")
		}
		d.feedFlows = append(d.feedFlows, feed)
	}
	for n := range demoIdleFlows {
		idle, err := openIdle(ctx, &d.fleet, n%2, fmt.Sprint("idle-", n))
		if err != nil {
			return lhcode.Wrap(lhcode.FlowsBroken, err, "open a flow")
		}
		d.idleFlows = append(d.idleFlows, idle)
	}
	d.startShortFlows(ctx)
	return nil
}

// startShortFlows starts to open flows of one request each, in batches.
func (d *demo) startShortFlows(ctx context.Context) {
	opening, stop := context.WithCancel(ctx)
	d.stopShortFlows = stop
	d.shortFlows = make(chan *lhstand.LoadResult, 1)
	go func() {
		var total lhstand.LoadResult
		for n := 0; opening.Err() == nil; n++ {
			load := lhstand.Load{
				Service: serviceAt(n % 2), Flows: demoBatchFlows, Concurrency: demoBatchFlows, Rate: demoRate,
				Request: lhstand.Request{ID: fmt.Sprint("short-", n), Bytes: heldAnswerBytes},
			}
			total.Add(load.Run(ctx, &d.fleet.fabric))
		}
		d.shortFlows <- &total
	}()
}

// drain drains the backend server of the first feed.
func (d *demo) drain(ctx context.Context) error {
	d.result.DrainedServer = d.feedFlows[0].reply.Server
	return d.fleet.Drain(ctx, d.result.DrainedServer)
}

// awaitPlacedFlows waits for flows that were placed before the drain to be opened;
// flows that the server accepts after that count as late. LateFlows is set to the
// negated count of accepted flows here, and closeFlows adds the final count.
func (d *demo) awaitPlacedFlows(ctx context.Context) error {
	err := observeFlows(ctx)
	d.result.LateFlows = -d.acceptedByDrained()
	return err
}

// acceptedByDrained returns how many flows the drained server has accepted so far.
func (d *demo) acceptedByDrained() int {
	s, err := d.fleet.server(d.result.DrainedServer)
	if err != nil {
		return 0
	}
	return s.Counts().Accepted
}

// observeFlows lets the flows run for demoObserveTime.
func observeFlows(ctx context.Context) error {
	if !sleepUntil(ctx, time.Now().Add(demoObserveTime)) {
		return lhcode.Wrap(lhcode.NotReached, ctx.Err(), "wait while flows run")
	}
	return nil
}

func (d *demo) stopVM(ctx context.Context) error { return d.fleet.Stop(ctx, demoVM) }

func (d *demo) replace(ctx context.Context) error {
	if _, err := d.fleet.StartVM(ctx); err != nil {
		return err
	}
	return d.fleet.AwaitServing(ctx)
}

// closeFlows ends all flows and fills in the result.
func (d *demo) closeFlows(ctx context.Context) error {
	d.stopShortFlows()
	short := newFlowCounts("short", <-d.shortFlows)
	feeds := FlowCounts{Pattern: "feed", Opened: len(d.feedFlows)}
	for _, f := range d.feedFlows {
		feeds.add(f.finish(ctx))
		d.recordVMsPerFlow(f.flow)
	}
	idle := FlowCounts{Pattern: "idle", Opened: len(d.idleFlows)}
	for _, f := range d.idleFlows {
		idle.add(f.finish())
		d.recordVMsPerFlow(f.flow)
	}
	r := &d.result
	r.Flows = []FlowCounts{feeds, idle, short}
	r.LateFlows += d.acceptedByDrained()
	r.RepeatedRequests = d.fleet.repeatedRequests()
	r.Traffic = d.fleet.traffic()
	return r.checkFlows()
}

// recordVMsPerFlow extends the range by the number of VMs that received packets of
// a flow.
func (d *demo) recordVMsPerFlow(f *flow) {
	n := len(d.fleet.fabric.PacketsByVM(f.conn.Key()))
	c := &d.result.VMsPerFlow
	if c.Max == 0 {
		c.Min = n
	}
	c.Min, c.Max = min(c.Min, n), max(c.Max, n)
}

// checkFlows returns an error if a flow did not complete or a request was executed
// more than once.
func (r *DemoResult) checkFlows() error {
	for _, t := range r.Flows {
		if t.Completed != t.Opened {
			return lhcode.Newf(lhcode.FlowsBroken, "%s flows that did not complete: %d of %d", t.Pattern, t.Opened-t.Completed, t.Opened)
		}
	}
	if r.RepeatedRequests > 0 {
		return lhcode.Newf(lhcode.FlowsBroken, "requests executed more than once: %d", r.RepeatedRequests)
	}
	return nil
}

// WriteText writes the result as tab-separated columns.
func (r *DemoResult) WriteText(w io.Writer) {
	fmt.Fprint(w, "step\ttime\n")
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%s\t%d ms\n", s.Name, s.DurationMs)
	}
	writeFlowCounts(w, r.Flows)
	fmt.Fprintf(w, "\nVMs crossed by a held flow\t%d to %d\n", r.VMsPerFlow.Min, r.VMsPerFlow.Max)
	fmt.Fprintf(w, "new flows at %s from a second after its drain\t%d\n", r.DrainedServer, r.LateFlows)
	fmt.Fprintf(w, "requests that ran more than once\t%d\n", r.RepeatedRequests)
	r.Traffic.writeText(w)
}

func writeFlowCounts(w io.Writer, counts []FlowCounts) {
	fmt.Fprint(w, "\nflows\topened\twhole\trefused\tbroken\n")
	for _, t := range counts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", t.Pattern, t.Opened, t.Completed, t.Refused, t.Broken)
	}
}

func (t Traffic) writeText(w io.Writer) {
	fmt.Fprintf(w, "packets received by the VMs\t%d\n", t.Received)
	fmt.Fprintf(w, "extra hops of a packet\t%.3f\n", t.ExtraHops())
	fmt.Fprintf(w, "control traffic of all VMs\t%d bytes\n", t.ControlBytes)
	if t.Reports > 0 {
		fmt.Fprintf(w, "load reports\t%d, without an answer %d, contradicted %d\n", t.Reports, t.FailedReports, t.ContradictedReports)
	}
}
