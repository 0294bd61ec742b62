package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// configurationApply is the time within which a configuration has to be in force.
	configurationApply = 3 * time.Second
	// growthSteps and growthRoutes are the number of steps in which the configuration grows,
	// and the routes that each adds.
	growthSteps, growthRoutes = 8, 350
	// stormChanges is the number of changes in quick succession, and stormGap the time between
	// two of them.
	stormChanges = 25
	stormGap     = 60 * time.Millisecond
	// calmGap is that time without the disruption.
	calmGap = 1200 * time.Millisecond
	// stormCheck is how long requests are checked after the last change.
	stormCheck = 9 * time.Second
)

// runStorm lets the configuration grow and then changes it in quick succession. The last
// change drops a route and moves another to a second service. Requests that are sent later
// than configurationApply after it have to be handled as it says.
func runStorm(ctx context.Context, e *environment, trouble bool) (int, error) {
	c := newConfiguration(15000, 2000, "orders", "proofs")
	for i := range 10 {
		c.Routes = append(c.Routes, newRoute(i, "safe", []string{"orders", "proofs"}[i%2]))
	}
	e.put(c)
	zones := []string{"a", "b", "c"}
	for i := range byte(6) {
		if _, err := e.startVM(ctx, zones[i%3], 1+i); err != nil {
			return 0, err
		}
		if _, err := e.startEndpoint(21+i, []string{"orders", "proofs"}[i%2], zones[i%3], 2, 2000); err != nil {
			return 0, err
		}
	}
	q, err := e.startRequester(11)
	if err != nil {
		return 0, err
	}
	if err := e.awaitRotation(ctx, 6); err != nil {
		return 0, err
	}
	for i := range growthSteps {
		for j := range growthRoutes {
			c.Routes = append(c.Routes, newRoute(10+i*growthRoutes+j, "safe", "orders"))
		}
		e.put(c)
		time.Sleep(1500 * time.Millisecond)
		newest := c.Routes[len(c.Routes)-1]
		if r := probe(q, &newest, fmt.Sprintf("grown-%d", i)); r.err != nil {
			return 0, fmt.Errorf("a route that was added is not served: %w", r.err)
		}
	}
	time.Sleep(3 * time.Second)
	dropped, moved := c.Routes[2], c.Routes[4]
	gap := stormGap
	if !trouble {
		gap = calmGap
	}
	for range stormChanges - 1 {
		for i := range c.Routes {
			c.Routes[i].Timeout++
		}
		e.put(c)
		time.Sleep(gap)
	}
	c.Routes[4].Service = "proofs"
	c.Routes = append(c.Routes[:2:2], c.Routes[3:]...)
	moved.Service = "proofs"
	confirmed := e.put(c)
	e.rec.printf("operator: the last change drops %s (%v) and moves %s (%v) from orders to proofs", dropped.Name, dropped.address(), moved.Name, moved.address())
	return checkStorm(e, q, confirmed, &dropped, &moved), nil
}

// checkStorm sends requests on both routes and returns how many were handled as only an older
// configuration allows.
func checkStorm(e *environment, q *requester, confirmed time.Time, dropped, moved *route) int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var early, broken, kept int
	for i := 0; time.Since(confirmed) < configurationApply+stormCheck; i++ {
		wg.Go(func() {
			sent := time.Now()
			gone := probe(q, dropped, fmt.Sprintf("dropped-%d", i))
			old := probe(q, moved, fmt.Sprintf("moved-%d", i))
			mu.Lock()
			defer mu.Unlock()
			wrong := 0
			if gone.err == nil {
				wrong++
			}
			if old.err == nil && e.serviceOf(old.endpoint) != "proofs" {
				wrong++
			}
			switch {
			case wrong == 0:
				kept++
			case sent.Sub(confirmed) <= configurationApply:
				early++
			default:
				broken += wrong
				e.rec.printf("CONFIG broken: sent %.3f s after the confirmation: dropped route: %v by %s; moved route: run by %s",
					sent.Sub(confirmed).Seconds(), gone.status, gone.endpoint, e.serviceOf(old.endpoint))
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	e.rec.summary("pairs of requests: %d as the new configuration says, %d as the old one within %v; %d requests as the old one later than that",
		kept, early, configurationApply, broken)
	return broken
}

// serviceOf returns the service of an endpoint, or an empty string if there is none.
func (e *environment) serviceOf(name string) string {
	for _, s := range e.endpoints {
		if s.name == name {
			return s.service
		}
	}
	return ""
}

// outcome is the result of a request on a flow of its own.
type outcome struct {
	response
	err error
}

// probe makes a request on a flow of its own.
func probe(q *requester, r *route, id string) outcome {
	f := q.newFlow(r.address(), 0)
	err := f.connect()
	if err != nil {
		f.forget()
		q.rec.printf("request %s on %s: %v", id, r.Name, err)
		return outcome{err: err}
	}
	got, err := f.request(requestText("GET", id, 30*time.Millisecond), time.Duration(r.Timeout)*time.Millisecond)
	q.rec.printf("request %s on %s: status %d by %s, %v", id, r.Name, got.status, got.endpoint, err)
	if err == nil {
		f.close()
	}
	f.forget()
	return outcome{got, err}
}
