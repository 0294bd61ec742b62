package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// portIdleTimeout is the idle timeout of the configuration.
	portIdleTimeout = 90 * time.Second
	// portPause is how long a port is not used after its flow has closed: longer than the
	// longest lifetime of a flow, 60 s.
	portPause = 61 * time.Second
	// portFlows is the number of flows.
	portFlows = 60
	// portBudget is the time budget of a request.
	portBudget = 3 * time.Second
)

// runPort opens flows and closes them, and opens others from the same ports more than a minute
// later. The disruption is planned work: a VM is added before the first flows close, and stopped
// while the second ones are open, so that the routers choose other VMs for nearly all flows.
func runPort(ctx context.Context, e *environment, trouble bool) (int, error) {
	c := newConfiguration(int(portIdleTimeout.Milliseconds()), 2000, "feed")
	c.Routes = append(c.Routes, newRoute(1, "safe", "feed"))
	r := &c.Routes[0]
	e.put(c)
	zones := []string{"a", "b"}
	for i := range byte(4) {
		if _, err := e.startVM(ctx, zones[i%2], 1+i); err != nil {
			return 0, err
		}
		if _, err := e.startEndpoint(21+i, "feed", zones[i%2], 2, 2000); err != nil {
			return 0, err
		}
	}
	q, err := e.startRequester(11)
	if err != nil {
		return 0, err
	}
	if err := e.awaitRotation(ctx, 4); err != nil {
		return 0, err
	}
	first, err := openEach(q, r, "first", nil)
	if err != nil {
		return 0, err
	}
	var added *vm
	if trouble {
		if added, err = e.startVM(ctx, "a", 5); err != nil {
			return 0, err
		}
		if err := e.awaitRotation(ctx, 5); err != nil {
			return 0, err
		}
	}
	for i, f := range first {
		if _, err := f.request(requestText("GET", fmt.Sprintf("first-again-%d", i), 10*time.Millisecond), portBudget); err != nil {
			return 0, err
		}
		if !f.close() {
			return 0, errors.New("a flow did not close")
		}
	}
	e.rec.printf("all flows are closed on both sides; their ports rest for %v", portPause)
	time.Sleep(portPause)
	second, err := openEach(q, r, "second", first)
	if err != nil {
		return 0, err
	}
	if trouble {
		e.signal(added, syscall.SIGTERM)
		if err := e.awaitRotation(ctx, 4); err != nil {
			return 0, err
		}
	}
	broken := 0
	for i, f := range second {
		id := fmt.Sprintf("second-again-%d", i)
		got, err := f.request(requestText("GET", id, 10*time.Millisecond), portBudget)
		e.rec.printf("request %s of %v: status %d by %s, %v", id, f.from, got.status, got.endpoint, err)
		if err == nil {
			continue
		}
		if err == errSystemReset || err == errEndpointReset && !e.resetByItsEndpoint(f) {
			broken++
			e.rec.printf("FLOW broken: %v, from another than its endpoint, which holds the flow", f.from)
		}
	}
	e.rec.summary("%d flows, of which %d were reset by another than their endpoint", len(second), broken)
	return broken, nil
}

// openEach opens flows, from the ports of earlier ones if there are any, and makes a request on
// each.
func openEach(q *requester, r *route, name string, earlier []*flow) ([]*flow, error) {
	var all []*flow
	for i := range portFlows {
		port := uint16(0)
		if earlier != nil {
			port = earlier[i].from.Port()
		}
		f := q.newFlow(r.address(), port)
		if err := f.connect(); err != nil {
			return nil, fmt.Errorf("open flow %v: %w", f.from, err)
		}
		got, err := f.request(requestText("GET", fmt.Sprintf("%s-%d", name, i), 10*time.Millisecond), portBudget)
		if err != nil {
			return nil, fmt.Errorf("request on flow %v: %w", f.from, err)
		}
		q.rec.printf("flow %s-%d from %v is open at %s, last packet through %s", name, i, f.from, got.endpoint, f.via)
		all = append(all, f)
	}
	return all, nil
}

// resetByItsEndpoint reports whether the endpoint that holds a flow has reset it, or whether none
// holds it.
func (e *environment) resetByItsEndpoint(f *flow) bool {
	for _, s := range e.endpoints {
		s.mu.Lock()
		held := s.flows[f.from]
		open := held != nil && held.state == established
		s.mu.Unlock()
		if open {
			// An endpoint resets only flows that it does not hold.
			return false
		}
	}
	return true
}
