package lhstand

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Load is a pattern of flows that callers open to one service. Of a zero Load
// nothing but Service and Flows has to be set: each flow then carries one small
// request, one flow at a time.
type Load struct {
	Service netip.AddrPort
	// Proto is the service's protocol; 0 is TCP. A UDP flow is one datagram.
	Proto lhflow.Proto
	// Callers holds the callers' addresses; the zero prefix is DefaultCallers. Each
	// flow over a fabric has an address and port of its own.
	Callers netip.Prefix
	// Flows is how many flows are opened in all.
	Flows int
	// Parallel is how many flows are open at a time; at least 1.
	Parallel int
	// Rate is how many flows are opened in a second at most; 0 is no limit.
	Rate float64
	// Request is what each flow asks for. Its ID is a prefix: flow and number of the
	// request follow.
	Request Request
	// Requests is how many requests a flow carries one after the other; at least 1.
	Requests int
	// Hold is how long a flow stays open and idle before each further request and
	// before it is closed.
	Hold time.Duration
	// NoRequest makes each TCP flow carry no request: it is opened, held and closed.
	NoRequest bool
	// Patience bounds the time of a flow; 0 is DefaultPatience.
	Patience time.Duration
	// Span bounds the time in which flows are opened; 0 is no bound.
	Span time.Duration
	// Observe, where it is set, is told of each flow that has ended, by several
	// goroutines at a time.
	Observe func(Ending)
}

// Ending is a flow of a load that has ended.
type Ending struct {
	Began, Ended time.Time
	Outcome      Outcome
}

// DefaultCallers is the block that is set aside for benchmarks (RFC 2544).
var DefaultCallers = netip.MustParsePrefix("198.18.0.0/15")

// DefaultPatience is how long a flow may take.
const DefaultPatience = time.Minute

// Ports of a caller's address that a Load uses.
const (
	firstPort = 1024
	portCount = 1<<16 - firstPort
)

// Run opens the flows over a fabric and returns how they went. It opens no more
// flows once the context has ended, and resets those that are open.
func (l Load) Run(ctx context.Context, fabric *Fabric) *LoadResult {
	l = l.withDefaults()
	run := loadRun{Load: l, fabric: fabric, first: fabric.reserve(l.Flows), start: time.Now()}
	ended := make(chan *LoadResult, l.Parallel)
	for range l.Parallel {
		go func() { ended <- run.work(ctx) }()
	}
	total := newLoadResult()
	for range l.Parallel {
		total.Add(<-ended)
	}
	total.Elapsed = time.Since(run.start)
	return total
}

func (l Load) withDefaults() Load {
	if l.Proto == 0 {
		l.Proto = lhflow.TCP
	}
	if !l.Callers.IsValid() {
		l.Callers = DefaultCallers
	}
	if l.Patience == 0 {
		l.Patience = DefaultPatience
	}
	if l.Request.ID == "" {
		l.Request.ID = "load"
	}
	l.Parallel = max(1, min(l.Parallel, l.Flows))
	l.Requests = max(1, l.Requests)
	if l.NoRequest {
		l.Requests = 0
	}
	return l
}

// loadRun is a Load while it runs.
type loadRun struct {
	Load
	fabric *Fabric
	// first is the number of the first flow among all of the fabric's.
	first int
	start time.Time
	// opened is the number of flows taken up so far.
	opened atomic.Int64
}

// work carries out one flow after the other until all are taken up.
func (r *loadRun) work(ctx context.Context) *LoadResult {
	result := newLoadResult()
	for {
		flow := int(r.opened.Add(1)) - 1
		if flow >= r.Flows || !r.pace(ctx, flow) {
			return result
		}
		began := time.Now()
		outcome := r.carryOut(ctx, flow, result)
		result.Outcomes[outcome]++
		if r.Observe != nil {
			r.Observe(Ending{Began: began, Ended: time.Now(), Outcome: outcome})
		}
	}
}

// pace waits for the time at which a flow is to be opened. It reports false when
// the context or the span has ended.
func (r *loadRun) pace(ctx context.Context, flow int) bool {
	if r.Rate > 0 {
		due := r.start.Add(time.Duration(float64(flow) / r.Rate * float64(time.Second)))
		sleep(ctx, time.Until(due))
	}
	return ctx.Err() == nil && (r.Span == 0 || time.Since(r.start) < r.Span)
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// carryOut carries out one flow and returns its outcome.
func (r *loadRun) carryOut(ctx context.Context, flow int, result *LoadResult) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Patience)
	defer cancel()
	var err error
	if r.Proto == lhflow.UDP {
		err = r.datagram(ctx, flow, result)
	} else {
		err = r.connection(ctx, flow, result)
	}
	if ctx.Err() == context.DeadlineExceeded && errors.Is(err, Canceled) {
		return TimedOut
	}
	return outcomeOf(err)
}

// outcomeOf returns the outcome that err stands for: Wrong when it is another error.
func outcomeOf(err error) Outcome {
	var o Outcome
	switch {
	case err == nil:
		return Whole
	case errors.As(err, &o):
		return o
	}
	return Wrong
}

func (r *loadRun) datagram(ctx context.Context, flow int, result *LoadResult) error {
	id := r.id(flow, 0)
	began := time.Now()
	data, err := r.fabric.Ask(ctx, r.caller(flow), r.Service, []byte(id))
	if err != nil {
		return err
	}
	words := strings.Fields(string(data))
	if len(words) != 3 || words[2] != id {
		return Wrong
	}
	result.answered(Reply{Service: words[0], Server: words[1]}, time.Since(began))
	return nil
}

func (r *loadRun) connection(ctx context.Context, flow int, result *LoadResult) error {
	began := time.Now()
	conn, err := r.fabric.Dial(ctx, r.caller(flow), r.Service)
	if err != nil {
		return err
	}
	defer conn.Abort()
	result.open(time.Since(began))
	if r.NoRequest {
		sleep(ctx, r.Hold)
	}
	for n := range r.Requests {
		if err := r.request(conn, r.id(flow, n), result); err != nil {
			return err
		}
		sleep(ctx, r.Hold)
	}
	if err := conn.Close(); err != nil {
		return err
	}
	return whole(conn.Wait())
}

// whole returns the outcome as an error unless it is Whole.
func whole(o Outcome) error {
	if o == Whole {
		return nil
	}
	return o
}

func (r *loadRun) request(conn *Conn, id string, result *LoadResult) error {
	request := r.Request
	request.ID = id
	began := time.Now()
	reply, err := request.Do(conn)
	if err != nil {
		return err
	}
	result.answered(reply, time.Since(began))
	return nil
}

func (r *loadRun) id(flow, number int) string {
	return fmt.Sprintf("%s-%d-%d", r.Request.ID, flow, number)
}

// caller returns the caller of a flow.
func (r *loadRun) caller(flow int) netip.AddrPort { return callerIn(r.Callers, r.first+flow) }

// callerIn returns the caller with a number: ports of one address of the prefix
// before the next.
func callerIn(callers netip.Prefix, flow int) netip.AddrPort {
	address := callers.Addr().As16()
	low := binary.BigEndian.Uint32(address[12:])
	binary.BigEndian.PutUint32(address[12:], low+uint32(flow/portCount)+1)
	port := uint16(firstPort + flow%portCount)
	return netip.AddrPortFrom(netip.AddrFrom16(address).Unmap(), port)
}
