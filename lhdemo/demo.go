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

// DemoLimit bounds a demo.
const DemoLimit = 20 * time.Second

// What the demo opens, and the two that it changes.
const (
	demoIdleFlows    = 40
	demoFeedFlows    = 4
	demoLineInterval = 20 * time.Millisecond
	demoRate         = 100 // flows a second
	// demoBatchFlows is how many of these flows are opened before the demo looks whether
	// it is at its end.
	demoBatchFlows  = 10
	demoObserveTime = time.Second
	demoVM          = "vm1"
)

// DemoResult is what a demo has seen.
type DemoResult struct {
	Steps []Step  `json:"steps"`
	Flows []Tally `json:"flows"`
	// Crossed gives the fewest and the most VMs that packets of one held flow went
	// to on their way from the caller.
	Crossed Range `json:"crossed"`
	// Drained names the drained backend server; Late counts the flows that it got
	// later than demoTurn after all VMs knew.
	Drained string  `json:"drained"`
	Late    int     `json:"late"`
	Traffic Traffic `json:"traffic"`
	// Repeated counts requests that ran more than once.
	Repeated int `json:"repeated"`
}

// Step is one step of a demo and the time that it took.
type Step struct {
	Name string `json:"name"`
	// Milliseconds is the time from the start of the step to its end.
	Milliseconds int64 `json:"ms"`
}

// Range is the least and the greatest of several numbers.
type Range struct {
	Least int `json:"least"`
	Most  int `json:"most"`
}

// demo is a demo while it runs.
type demo struct {
	fleet     Fleet
	result    DemoResult
	idleFlows []idleFlow
	feedFlows []*feedFlow
	// stopShortFlows ends the stream of short flows, whose sum then comes on streamed.
	stopShortFlows context.CancelFunc
	shortFlows     chan *lhstand.LoadResult
}

// RunDemo runs a fleet of three data centres, drains a backend server, stops a VM
// as planned and replaces it, with flows open all the time. It gives the result as
// far as it came together with any error.
func RunDemo(ctx context.Context, log func(vm string) zerolog.Logger) (DemoResult, error) {
	ctx, cancel := context.WithTimeout(ctx, DemoLimit)
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
		d.result.Steps = append(d.result.Steps, Step{Name: s.name, Milliseconds: time.Since(began).Milliseconds()})
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

// startShortFlows opens short flows one after the other, with one request each.
func (d *demo) startShortFlows(ctx context.Context) {
	opening, stop := context.WithCancel(ctx)
	d.stopShortFlows = stop
	d.shortFlows = make(chan *lhstand.LoadResult, 1)
	go func() {
		var total lhstand.LoadResult
		for n := 0; opening.Err() == nil; n++ {
			load := lhstand.Load{
				Service: serviceAt(n % 2), Flows: demoBatchFlows, Parallel: demoBatchFlows, Rate: demoRate,
				Request: lhstand.Request{ID: fmt.Sprint("short-", n), Bytes: heldAnswerBytes},
			}
			total.Add(load.Run(ctx, &d.fleet.fabric))
		}
		d.shortFlows <- &total
	}()
}

// drain drains the server of the first feed.
func (d *demo) drain(ctx context.Context) error {
	d.result.Drained = d.feedFlows[0].reply.Server
	return d.fleet.Drain(ctx, d.result.Drained)
}

// awaitPlacedFlows lets flows go on that were placed before the drain; what the server
// gets from then on is late.
func (d *demo) awaitPlacedFlows(ctx context.Context) error {
	err := observeFlows(ctx)
	d.result.Late = -d.acceptedByDrained()
	return err
}

// acceptedByDrained returns how many flows the drained server has ever taken.
func (d *demo) acceptedByDrained() int {
	s, err := d.fleet.server(d.result.Drained)
	if err != nil {
		return 0
	}
	return s.Counts().Accepted
}

// observeFlows lets the short flows go on for a while.
func observeFlows(ctx context.Context) error {
	if !sleepUntil(ctx, time.Now().Add(demoObserveTime)) {
		return lhcode.Wrap(lhcode.NotReached, ctx.Err(), "let flows go on")
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

// closeFlows ends all flows and sums up.
func (d *demo) closeFlows(ctx context.Context) error {
	d.stopShortFlows()
	short := newTally("short", <-d.shortFlows)
	feeds := Tally{Pattern: "feed", Opened: len(d.feedFlows)}
	for _, w := range d.feedFlows {
		feeds.add(w.finish(ctx))
		d.recordVMsPerFlow(w.flow)
	}
	idle := Tally{Pattern: "idle", Opened: len(d.idleFlows)}
	for _, w := range d.idleFlows {
		idle.add(w.finish())
		d.recordVMsPerFlow(w.flow)
	}
	r := &d.result
	r.Flows = []Tally{feeds, idle, short}
	r.Late += d.acceptedByDrained()
	r.Repeated = d.fleet.repeatedRequests()
	r.Traffic = d.fleet.traffic()
	return r.checkFlows()
}

// recordVMsPerFlow takes the VMs that a flow's packets went to into the range.
func (d *demo) recordVMsPerFlow(w *flow) {
	n := len(d.fleet.fabric.VMs(w.conn.Key()))
	c := &d.result.Crossed
	if c.Most == 0 {
		c.Least = n
	}
	c.Least, c.Most = min(c.Least, n), max(c.Most, n)
}

// checkFlows returns an error where something broke that must not.
func (r *DemoResult) checkFlows() error {
	for _, t := range r.Flows {
		if t.Whole != t.Opened {
			return lhcode.Newf(lhcode.FlowsBroken, "%s flows that did not end whole: %d of %d", t.Pattern, t.Opened-t.Whole, t.Opened)
		}
	}
	if r.Repeated > 0 {
		return lhcode.Newf(lhcode.FlowsBroken, "requests that ran more than once: %d", r.Repeated)
	}
	return nil
}

// WriteText writes the result as columns that are parted by tabs.
func (r *DemoResult) WriteText(w io.Writer) {
	fmt.Fprint(w, "step\ttime\n")
	for _, s := range r.Steps {
		fmt.Fprintf(w, "%s\t%d ms\n", s.Name, s.Milliseconds)
	}
	writeFlowCounts(w, r.Flows)
	fmt.Fprintf(w, "\nVMs crossed by a held flow\t%d to %d\n", r.Crossed.Least, r.Crossed.Most)
	fmt.Fprintf(w, "new flows at %s from a second after its drain\t%d\n", r.Drained, r.Late)
	fmt.Fprintf(w, "requests that ran more than once\t%d\n", r.Repeated)
	r.Traffic.writeText(w)
}

func writeFlowCounts(w io.Writer, counts []Tally) {
	fmt.Fprint(w, "\nflows\topened\twhole\trefused\tbroken\n")
	for _, t := range counts {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", t.Pattern, t.Opened, t.Whole, t.Refused, t.Broken)
	}
}

func (t Traffic) writeText(w io.Writer) {
	fmt.Fprintf(w, "packets received by the VMs\t%d\n", t.Received)
	fmt.Fprintf(w, "extra hops of a packet\t%.3f\n", t.Hops())
	fmt.Fprintf(w, "control traffic of all VMs\t%d bytes\n", t.Control)
	if t.Reports > 0 {
		fmt.Fprintf(w, "load reports\t%d, without an answer %d, contradicted %d\n", t.Reports, t.Failures, t.Contradictions)
	}
}
