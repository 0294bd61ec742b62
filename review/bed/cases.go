package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	lhplatformstand "github.com/laburnumhollow/laburnumhollow/platform/stand"
)

// cases holds the cases by name.
var cases = map[string]func(b *bed, trouble bool){
	"stale-syn":    staleSYN,
	"cold-restart": coldRestart,
}

// feed is the address of the route, which appears in packets only.
var feed = netip.MustParseAddrPort("127.18.0.1:8443")

// flood starts users on the hosts and returns a function that ends them.
func (b *bed) flood(ctx context.Context, hosts []*host, users int, a habit) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range users {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sleep(ctx, time.Duration(i)*(a.pause+a.between)/time.Duration(users))
			hosts[i%len(hosts)].use(ctx, fmt.Sprint("u", i), a)
		}()
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// staleSYN partitions single VMs from the store and restarts them meanwhile.
func staleSYN(b *bed, trouble bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	zones := []string{"sapporo-a", "sapporo-b"}
	b.configure([]route{{"plotter-feed", feed, "safe", "cutdesk", 150}}, []serviceOptions{{name: "cutdesk"}})
	for i := range 10 {
		e := newEndpoint(b, i, "cutdesk", zones[i%2], b.address(100+i), 20*time.Millisecond)
		b.endpoints = append(b.endpoints, e)
		e.start(0)
	}
	// One of the seeds is stale: its machine has been taken away.
	stale := addressOf(b.address(50), b.controlPort)
	b.deadHost(stale)
	b.seeds = []netip.AddrPort{addressOf(b.address(1), b.controlPort), addressOf(b.address(4), b.controlPort), stale}
	for i := range 6 {
		b.addVM(i, zones[i/3], nil)
	}
	var hosts []*host
	for i := range 6 {
		hosts = append(hosts, newHost(b, zones[i%2], b.address(200+i)))
	}
	b.launch(ctx)
	// The first VM to be disturbed has to have learned of the others.
	sleep(ctx, 2*time.Second)
	stop := b.flood(ctx, hosts, 1200, habit{
		service: feed, requests: 2, pause: 8 * time.Second, between: 200 * time.Millisecond, budget: 1500 * time.Millisecond,
	})
	sleep(ctx, 8*time.Second)
	for i := range 10 {
		if !trouble {
			sleep(ctx, 8*time.Second)
			continue
		}
		v := b.vms[(i*4)%len(b.vms)]
		b.rec.event("%s is partitioned from the store", v.name)
		v.disturb(5500 * time.Millisecond)
		v.proxy.SetLink(lhplatformstand.LinkBlackhole)
		sleep(ctx, time.Second+vary(200*time.Millisecond))
		v.signal(syscall.SIGKILL)
		<-v.ended
		sleep(ctx, restartDelay)
		v.start()
		sleep(ctx, time.Second)
		b.rec.event("the partition of %s ends", v.name)
		v.proxy.SetLink(lhplatformstand.LinkUp)
		v.calm()
		sleep(ctx, 4*time.Second)
	}
	sleep(ctx, 8*time.Second)
	stop()
}

// coldRestart crashes endpoints, which start again at once under the id that they had.
func coldRestart(b *bed, trouble bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const warmupS, perS, overshoot, slack = 2.0, 10.0, 1.5, 5.0
	zones := []string{"luzon-makati", "luzon-pasig"}
	b.configure([]route{{"quote-req", feed, "safe", "quote-engine", 400}},
		[]serviceOptions{{name: "quote-engine", warmupS: warmupS, warmupPerS: perS}})
	bounds := map[string]string{"bounds.evacuation_ms": "5000", "bounds.warmup_overshoot": fmt.Sprint(overshoot), "bounds.warmup_slack": fmt.Sprint(slack)}
	for i := range 8 {
		e := newEndpoint(b, i, "quote-engine", zones[i%2], b.address(100+i), 20*time.Millisecond)
		b.endpoints = append(b.endpoints, e)
		e.start(0)
	}
	b.seeds = []netip.AddrPort{addressOf(b.address(1), b.controlPort), addressOf(b.address(4), b.controlPort)}
	for i := range 6 {
		b.addVM(i, zones[i/3], bounds)
	}
	var hosts []*host
	for i := range 6 {
		hosts = append(hosts, newHost(b, zones[i%2], b.address(200+i)))
	}
	b.launch(ctx)
	sleep(ctx, 8*time.Second)
	stop := b.flood(ctx, hosts, 160, habit{
		service: feed, requests: 1, pause: 100 * time.Millisecond, between: 400 * time.Millisecond, budget: 3 * time.Second,
	})
	sleep(ctx, 5*time.Second)
	for i := range 7 {
		if !trouble {
			sleep(ctx, 12*time.Second)
			continue
		}
		b.setStoreDown(true)
		sleep(ctx, time.Second)
		e := b.endpoints[i]
		e.crash()
		sleep(ctx, restartDown)
		e.start(time.Duration(warmupS * float64(time.Second)))
		sleep(ctx, 3*time.Second)
		b.setStoreDown(false)
		sleep(ctx, 8*time.Second-restartDown)
	}
	stop()
	for _, e := range b.endpoints {
		e.checkCold(perS*overshoot + slack)
	}
}

// restartDown is how long an endpoint that crashes is down.
const restartDown = 300 * time.Millisecond
