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

// Load describes a load test: flows that callers open to one service. Only Service
// and Flows are required; by default, flows run one at a time and carry one small
// request each.
type Load struct {
	Service netip.AddrPort
	// Proto is the service's protocol; 0 is TCP. A UDP flow is one datagram.
	Proto lhflow.Proto
	// Callers is the block of caller addresses; the zero prefix means DefaultCallers.
	// Each flow of a fabric has its own address and port.
	Callers netip.Prefix
	// Flows is the total number of flows.
	Flows int
	// Concurrency is the number of concurrent flows; at least 1.
	Concurrency int
	// Rate is the maximum number of flows opened per second; 0 means no limit.
	Rate float64
	// Request is the request template. Its ID is a prefix, to which the numbers of the
	// flow and of the request are appended.
	Request Request
	// Requests is the number of sequential requests per flow; at least 1.
	Requests int
	// Hold is the idle time before each further request and before closing.
	Hold time.Duration
	// NoRequest opens, holds and closes each TCP flow without sending a request.
	NoRequest bool
	// Timeout is the time limit of a flow; 0 means DefaultFlowTimeout.
	Timeout time.Duration
	// OpenDuration limits the time during which flows are opened; 0 means no limit.
	OpenDuration time.Duration
	// OnFlowEnd, if not nil, is called for each flow that has ended. Calls are
	// concurrent.
	OnFlowEnd func(FlowResult)
}

// FlowResult describes a flow of a load that has ended.
type FlowResult struct {
	Started, Ended time.Time
	Outcome        Outcome
}

// DefaultCallers is the address block reserved for benchmarks (RFC 2544).
var DefaultCallers = netip.MustParsePrefix("198.18.0.0/15")

// DefaultFlowTimeout is the default time limit of a flow.
const DefaultFlowTimeout = time.Minute

// Source ports used on each caller address.
const (
	firstCallerPort = 1024
	portsPerCaller  = 1<<16 - firstCallerPort
)

// Run opens the flows over a fabric and returns the results. When the context ends,
// it opens no more flows and resets the open ones.
func (l Load) Run(ctx context.Context, fabric *Fabric) *LoadResult {
	l = l.withDefaults()
	run := loadRun{Load: l, fabric: fabric, firstCaller: fabric.reserveCallers(l.Flows), start: time.Now()}
	results := make(chan *LoadResult, l.Concurrency)
	for range l.Concurrency {
		go func() { results <- run.runWorker(ctx) }()
	}
	total := newLoadResult()
	for range l.Concurrency {
		total.Add(<-results)
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
	if l.Timeout == 0 {
		l.Timeout = DefaultFlowTimeout
	}
	if l.Request.ID == "" {
		l.Request.ID = "load"
	}
	l.Concurrency = max(1, min(l.Concurrency, l.Flows))
	l.Requests = max(1, l.Requests)
	if l.NoRequest {
		l.Requests = 0
	}
	return l
}

// loadRun is the state of a running Load.
type loadRun struct {
	Load
	fabric *Fabric
	// firstCaller is the number of the first flow's caller in the fabric.
	firstCaller int
	start       time.Time
	// nextFlow is the number of the next flow to start.
	nextFlow atomic.Int64
}

// runWorker runs flows sequentially until none are left to start.
func (r *loadRun) runWorker(ctx context.Context) *LoadResult {
	result := newLoadResult()
	for {
		flow := int(r.nextFlow.Add(1)) - 1
		if flow >= r.Flows || !r.awaitOpenTime(ctx, flow) {
			return result
		}
		start := time.Now()
		outcome := r.runFlow(ctx, flow, result)
		result.Outcomes[outcome]++
		if r.OnFlowEnd != nil {
			r.OnFlowEnd(FlowResult{Started: start, Ended: time.Now(), Outcome: outcome})
		}
	}
}

// awaitOpenTime waits until a flow is due to be opened. It reports false if the
// context has ended or OpenDuration has elapsed.
func (r *loadRun) awaitOpenTime(ctx context.Context, flow int) bool {
	if r.Rate > 0 {
		due := r.start.Add(time.Duration(float64(flow) / r.Rate * float64(time.Second)))
		sleepContext(ctx, time.Until(due))
	}
	return ctx.Err() == nil && (r.OpenDuration == 0 || time.Since(r.start) < r.OpenDuration)
}

func sleepContext(ctx context.Context, d time.Duration) {
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

// runFlow runs one flow and returns its outcome.
func (r *loadRun) runFlow(ctx context.Context, flow int, result *LoadResult) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	var err error
	if r.Proto == lhflow.UDP {
		err = r.runUDPFlow(ctx, flow, result)
	} else {
		err = r.runTCPFlow(ctx, flow, result)
	}
	if ctx.Err() == context.DeadlineExceeded && errors.Is(err, Canceled) {
		return TimedOut
	}
	return outcomeOf(err)
}

// outcomeOf converts err to an outcome: Completed for nil, and Mismatched if err is
// not an Outcome.
func outcomeOf(err error) Outcome {
	var o Outcome
	switch {
	case err == nil:
		return Completed
	case errors.As(err, &o):
		return o
	}
	return Mismatched
}

func (r *loadRun) runUDPFlow(ctx context.Context, flow int, result *LoadResult) error {
	id := r.requestID(flow, 0)
	start := time.Now()
	data, err := r.fabric.ExchangeDatagram(ctx, r.caller(flow), r.Service, []byte(id))
	if err != nil {
		return err
	}
	fields := strings.Fields(string(data))
	if len(fields) != 3 || fields[2] != id {
		return Mismatched
	}
	result.recordReply(Reply{Service: fields[0], Server: fields[1]}, time.Since(start))
	return nil
}

func (r *loadRun) runTCPFlow(ctx context.Context, flow int, result *LoadResult) error {
	start := time.Now()
	conn, err := r.fabric.Dial(ctx, r.caller(flow), r.Service)
	if err != nil {
		return err
	}
	defer conn.Abort()
	result.recordOpen(time.Since(start))
	if r.NoRequest {
		sleepContext(ctx, r.Hold)
	}
	for n := range r.Requests {
		if err := r.runRequest(conn, r.requestID(flow, n), result); err != nil {
			return err
		}
		sleepContext(ctx, r.Hold)
	}
	if err := conn.Close(); err != nil {
		return err
	}
	return outcomeError(conn.Wait())
}

// outcomeError returns o as an error, or nil if it is Completed.
func outcomeError(o Outcome) error {
	if o == Completed {
		return nil
	}
	return o
}

func (r *loadRun) runRequest(conn *Conn, id string, result *LoadResult) error {
	request := r.Request
	request.ID = id
	start := time.Now()
	reply, err := request.Do(conn)
	if err != nil {
		return err
	}
	result.recordReply(reply, time.Since(start))
	return nil
}

func (r *loadRun) requestID(flow, number int) string {
	return fmt.Sprintf("%s-%d-%d", r.Request.ID, flow, number)
}

// caller returns the caller address of a flow.
func (r *loadRun) caller(flow int) netip.AddrPort {
	return callerAddress(r.Callers, r.firstCaller+flow)
}

// callerAddress returns the address and port of a caller by number. It uses all ports
// of one address of the prefix before the next address.
func callerAddress(callers netip.Prefix, flow int) netip.AddrPort {
	address := callers.Addr().As16()
	low := binary.BigEndian.Uint32(address[12:])
	binary.BigEndian.PutUint32(address[12:], low+uint32(flow/portsPerCaller)+1)
	port := uint16(firstCallerPort + flow%portsPerCaller)
	return netip.AddrPortFrom(netip.AddrFrom16(address).Unmap(), port)
}
