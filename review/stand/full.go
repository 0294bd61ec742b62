package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxConnections is the number of flows that an endpoint holds, and fullSlots the number of
	// requests that it runs at the same time.
	maxConnections, fullSlots = 2000, 2
	// spareConnections is the number of flows for which each endpoint still has room.
	spareConnections = 8
	// fullIdleTimeout is the idle timeout of the configuration. All idle flows are younger.
	fullIdleTimeout = 60 * time.Second
	// feedBudget is the time budget of a request.
	feedBudget = 4 * time.Second
	// feedWork and orderWork are the mean times in milliseconds that requests take.
	feedWork, orderWork = 55, 72
	// feedUsers is the number of users who make requests on flows that stay open, and
	// burstFeedUsers that of the further ones while many come at once.
	feedUsers, burstFeedUsers = 8, 5
	// calmUsers is the number of users who make requests on flows of their own all the time, and
	// burstUsers that of the further ones while many come at once.
	calmUsers, burstUsers = 30, 66
	// calmLength is the time before each burst, and burstLength the duration of a burst.
	calmLength, burstLength = 4500 * time.Millisecond, 3 * time.Second
	// bursts is the number of bursts.
	bursts = 6
	// meanPause and meanFeedPause are the mean pauses of a user between two requests.
	meanPause, meanFeedPause = time.Second, 300 * time.Millisecond
	// openers is the number of flows that are opened at the same time.
	openers = 20
)

// fullRun is the state of the case in which endpoints hold as many flows as they can.
type fullRun struct {
	e *environment
	q *requester
	// feed is the safe route, on which flows stay open, and order the unsafe one.
	feed, order route
	// started numbers requests; served and reset count those that were served, and the open flows that the system
	// has reset.
	started, served, rejected, unopened, reset, failed atomic.Int64
}

// runFull opens nearly as many flows as the endpoints hold and leaves them idle. A few users
// make requests, each on a flow of its own. The disruption is that many users come at once:
// the endpoints run as many requests as they can, and leave SYNs unanswered while they are
// full.
func runFull(ctx context.Context, e *environment, trouble bool) (int, error) {
	c := newConfiguration(int(fullIdleTimeout.Milliseconds()), maxConnections, "feed")
	c.Routes = append(c.Routes, newRoute(1, "safe", "feed"), newRoute(2, "unsafe", "feed"))
	c.Routes[0].Target, c.Routes[0].Timeout = 500, 4000
	c.Routes[1].Priority, c.Routes[1].Target, c.Routes[1].Timeout = 1, 600, 4000
	e.put(c)
	zones := []string{"a", "b", "c"}
	for i := range byte(6) {
		if _, err := e.startVM(ctx, zones[i%3], 1+i); err != nil {
			return 0, err
		}
	}
	for i := range byte(3) {
		if _, err := e.startEndpoint(21+i, "feed", zones[i], fullSlots, maxConnections); err != nil {
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
	time.Sleep(4 * time.Second)
	f := &fullRun{e: e, q: q, feed: c.Routes[0], order: c.Routes[1]}
	idle := f.fill()
	for _, s := range e.endpoints {
		s.mu.Lock()
		held := s.openFlows()
		s.mu.Unlock()
		e.rec.printf("endpoint %s holds %d flows", s.name, held)
		if held < maxConnections-2*spareConnections {
			return 0, fmt.Errorf("endpoint %s holds only %d flows", s.name, held)
		}
	}
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	for i := range feedUsers {
		watchers.Go(func() { f.watch(i, idle[i*len(idle)/(feedUsers+burstFeedUsers)], stop) })
	}
	watchers.Go(func() { f.users(calmUsers, bursts*(calmLength+burstLength)) })
	for range bursts {
		time.Sleep(calmLength)
		if !trouble {
			time.Sleep(burstLength)
			continue
		}
		over := make(chan struct{})
		for i := range burstFeedUsers {
			watchers.Go(func() { f.watch(feedUsers+i, idle[(feedUsers+i)*len(idle)/(feedUsers+burstFeedUsers)], over) })
		}
		f.users(burstUsers, burstLength)
		close(over)
	}
	close(stop)
	watchers.Wait()
	for _, i := range idle {
		if i.resetBySystem() {
			f.reset.Add(1)
			e.rec.printf("FLOW broken: the system has reset the open flow %v, whose endpoint lives", i.from)
		}
	}
	e.rec.summary("%d requests served, %d rejected, %d flows not opened, %d requests failed; %d open flows reset by the system though their endpoints live",
		f.served.Load(), f.rejected.Load(), f.unopened.Load(), f.failed.Load(), f.reset.Load())
	return int(f.reset.Load()), nil
}

// work returns how long a request takes, with a mean in milliseconds and at most six times as
// much.
func work(mean float64) time.Duration {
	const spread, most = 0.5, 6
	return time.Duration(mean * min(math.Exp(spread*rand.NormFloat64()-spread*spread/2), most) * float64(time.Millisecond))
}

// pause returns an exponentially distributed time.
func pause(mean time.Duration) time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(mean))
}

// users lets a number of users make requests one after the other for some time.
func (f *fullRun) users(count int, length time.Duration) {
	f.e.rec.printf("%d users", count)
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for u := range count {
		wg.Go(func() {
			time.Sleep(pause(meanPause))
			for i := 0; time.Now().Before(end); i++ {
				f.request(fmt.Sprintf("user-%d-%d-%d-%d", count, u, i, f.started.Add(1)))
				time.Sleep(pause(meanPause))
			}
		})
	}
	wg.Wait()
}

// watch makes requests on an open flow, with pauses between them, until stop is closed.
func (f *fullRun) watch(user int, flow *flow, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause(meanFeedPause)):
		}
		id := fmt.Sprintf("feed-%d-%d", user, i)
		got, err := flow.request(requestText("GET", id, work(feedWork)), feedBudget)
		f.e.rec.printf("request %s of %v: status %d by %s, %v", id, flow.from, got.status, got.endpoint, err)
		if err != nil {
			return
		}
		f.served.Add(1)
	}
}

// request makes a request on a flow of its own.
func (f *fullRun) request(id string) {
	flow := f.q.newFlow(f.order.address(), 0)
	defer flow.forget()
	if err := flow.connect(); err != nil {
		f.unopened.Add(1)
		f.e.rec.printf("request %s of %v: flow not opened: %v", id, flow.from, err)
		time.Sleep(100 * time.Millisecond)
		return
	}
	got, err := flow.request(requestText("POST", id, work(orderWork)), feedBudget)
	f.e.rec.printf("request %s of %v: status %d by %s, %v", id, flow.from, got.status, got.endpoint, err)
	switch {
	case err == nil:
		if got.status == 200 {
			f.served.Add(1)
		} else {
			f.rejected.Add(1)
		}
		flow.close()
	case flow.resetBySystem() && f.e.holds(flow):
		f.reset.Add(1)
		f.e.rec.printf("FLOW broken: the system has reset the open flow %v, whose endpoint lives", flow.from)
	default:
		f.failed.Add(1)
	}
}

// holds reports whether an endpoint has the end of the handshake of a flow.
func (e *environment) holds(f *flow) bool {
	for _, s := range e.endpoints {
		s.mu.Lock()
		_, ok := s.opened[f.from]
		s.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// fill opens flows until the endpoints hold as many as they can, and then closes
// spareConnections of each. It returns the flows that stay open.
func (f *fullRun) fill() []*flow {
	var mu sync.Mutex
	byEndpoint := make(map[string][]*flow)
	var wg sync.WaitGroup
	for o := range openers {
		wg.Go(func() {
			for misses := 0; misses < 2; {
				flow := f.q.newFlow(f.feed.address(), 0)
				if flow.connect() != nil {
					flow.forget()
					misses++
					continue
				}
				got, err := flow.request(requestText("GET", fmt.Sprintf("open-%d-%d", o, flow.from.Port()), time.Millisecond), feedBudget)
				if err != nil {
					continue
				}
				mu.Lock()
				byEndpoint[got.endpoint] = append(byEndpoint[got.endpoint], flow)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	var idle []*flow
	for _, flows := range byEndpoint {
		for _, flow := range flows[:min(spareConnections, len(flows))] {
			flow.close()
		}
		idle = append(idle, flows[min(spareConnections, len(flows)):]...)
	}
	return idle
}
