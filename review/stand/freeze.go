package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeLength is how long a VM stands still, and freezeGap the time from one freeze to the
	// next. Each freeze is of another VM.
	freezeLength, freezeGap = 3500 * time.Millisecond, 12 * time.Second
	// freezes is the number of freezes.
	freezes = 3
	// stableWindow is the time after a freeze for which a VM is not in touch.
	stableWindow = 4 * time.Second
	// arrivalGap is the mean time between two new users.
	arrivalGap = 25 * time.Millisecond
	// userRequests is the number of requests that a user makes on one flow, and userPause the
	// longest pause between two.
	userRequests, userPause = 2, 12 * time.Second
	// userBudget is the time budget of a request.
	userBudget = 4 * time.Second
)

// freezeRun is the state of the case in which VMs stand still.
type freezeRun struct {
	e *environment
	q *requester
	r route
	// mu guards thawed, which holds when each VM went on last.
	mu     sync.Mutex
	thawed map[string]time.Time

	served, failed, excused, broken atomic.Int64
}

// runFreeze lets users open flows all the time and make a few requests on each, with pauses
// between them. The disruption is that one VM after the other stands still for some seconds.
func runFreeze(ctx context.Context, e *environment, trouble bool) (int, error) {
	c := newConfiguration(15000, 2000, "feed")
	c.Routes = append(c.Routes, newRoute(1, "safe", "feed"))
	e.put(c)
	zones := []string{"a", "b", "c"}
	for i := range byte(6) {
		if _, err := e.startVM(ctx, zones[i%3], 1+i); err != nil {
			return 0, err
		}
		if _, err := e.startEndpoint(21+i, "feed", zones[i%3], 2, 2000); err != nil {
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
	f := &freezeRun{e: e, q: q, r: c.Routes[0], thawed: make(map[string]time.Time)}
	var users sync.WaitGroup
	stop := make(chan struct{})
	users.Go(func() { f.arrivals(&users, stop) })
	for i := range freezes {
		time.Sleep(freezeGap - freezeLength)
		v := e.vms[i]
		if trouble {
			e.signal(v, syscall.SIGSTOP)
			f.thaw(v.name, time.Now().Add(freezeLength))
		}
		time.Sleep(freezeLength)
		if trouble {
			e.signal(v, syscall.SIGCONT)
			f.thaw(v.name, time.Now())
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	users.Wait()
	e.rec.summary("%d requests served, %d failed; %d flows reset by another than their endpoint through a VM in touch, %d through others",
		f.served.Load(), f.failed.Load(), f.broken.Load(), f.excused.Load())
	return int(f.broken.Load()), nil
}

// thaw records when a VM goes on.
func (f *freezeRun) thaw(name string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.thawed[name] = at
}

// inTouch reports whether a VM has not stood still in the last stableWindow.
func (f *freezeRun) inTouch(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.thawed[name]
	return !ok || time.Since(at) > stableWindow
}

// arrivals lets new users come until stop is closed.
func (f *freezeRun) arrivals(users *sync.WaitGroup, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(pause(arrivalGap)):
		}
		users.Go(func() { f.user(i) })
	}
}

// user opens a flow and makes requests on it.
func (f *freezeRun) user(number int) {
	flow := f.q.newFlow(f.r.address(), 0)
	defer flow.forget()
	if err := flow.connect(); err != nil {
		f.failed.Add(1)
		f.e.rec.printf("user %d from %v: flow not opened: %v", number, flow.from, err)
		return
	}
	for i := range userRequests {
		if i > 0 {
			time.Sleep(time.Duration(rand.Int64N(int64(userPause))))
		}
		id := fmt.Sprintf("user-%d-%d", number, i)
		got, err := flow.request(requestText("GET", id, 10*time.Millisecond), userBudget)
		f.e.rec.printf("request %s from %v: status %d by %s, %v", id, flow.from, got.status, got.endpoint, err)
		if err != nil {
			f.ended(flow, err)
			return
		}
		f.served.Add(1)
	}
	flow.close()
}

// ended judges the end of a flow whose request was not answered.
func (f *freezeRun) ended(flow *flow, err error) {
	flow.mu.Lock()
	via := flow.via
	flow.mu.Unlock()
	switch {
	case err != errEndpointReset && err != errSystemReset || f.e.resetByItsEndpoint(flow):
		f.failed.Add(1)
	case f.inTouch(via):
		f.broken.Add(1)
		f.e.rec.printf("FLOW broken: %v, whose last packet went through %s, was reset by another than its endpoint, which lives and holds it", flow.from, via)
	default:
		f.excused.Add(1)
	}
}
