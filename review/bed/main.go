// Command bed runs the cases of this review that are scripts. It starts processes of the system
// between stand-ins of the platform, its routers, endpoints and requesters, brings a disruption
// about, and checks a rule by what requesters and endpoints see.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	lhplatformstand "github.com/laburnumhollow/laburnumhollow/platform/stand"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The bounds of the site.
const (
	stableWindow = 4 * time.Second
	flowLifetime = 60 * time.Second
	// restartDelay is after how long the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// maxRun is the longest time that a case may take.
	maxRun = 115 * time.Second
)

// bed is what one run consists of.
type bed struct {
	root, dir                        string
	rec                              *recorder
	store                            *lhplatformstand.Store
	net                              [2]byte
	dataPort, readyPort, controlPort uint16
	vms                              []*vm
	routers                          routers
	endpoints                        []*endpoint
	version                          int
	// seeds are the control addresses in the settings, and held connections of dead hosts.
	seeds []netip.AddrPort
	held  []net.Conn
	// storeDown is set while the store is down.
	storeDown atomic.Bool
}

// route is a route of the operator's configuration.
type route struct {
	name    string
	address netip.AddrPort
	kind    string
	service string
	aim     int
}

// serviceOptions is what the operator declares of a service.
type serviceOptions struct {
	name                string
	warmupS, warmupPerS float64
}

func main() {
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "usage: bed [-trouble=false] [-record FILE] CASE")
		os.Exit(exitNotRun)
	}
	b := &bed{}
	// The processes of the system end with this one.
	time.AfterFunc(maxRun, func() {
		fmt.Fprintln(os.Stderr, "could not run: the case takes too long")
		os.Exit(exitNotRun)
	})
	os.Exit(b.run(*record, func() { run(b, *trouble) }))
}

var errNotDead = errors.New("a dead host accepts connections")

// notRun is the reason why a case could not be run.
type notRun struct{ err error }

func (b *bed) must(err error) {
	if err != nil {
		panic(notRun{err})
	}
}

// run runs a case and returns the exit code.
func (b *bed) run(record string, do func()) (code int) {
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintln(os.Stderr, "could not run:", r)
			code = exitNotRun
		}
		for _, v := range b.vms {
			v.stop()
		}
		if b.dir != "" && os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(b.dir)
		}
	}()
	var err error
	b.rec, err = newRecorder(record)
	b.must(err)
	b.root, err = os.Getwd()
	b.must(err)
	b.dir, err = os.MkdirTemp("", "bed-")
	b.must(err)
	if _, err := os.Stat(filepath.Join(b.root, "target/laburnumhollow")); err != nil {
		b.must(err)
	}
	b.net = [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	ports := freePorts(b)
	b.dataPort, b.readyPort, b.controlPort = ports[0], ports[1], ports[2]
	b.store = lhplatformstand.NewStore()
	b.routers.nodes = make(map[string][]*node)
	do()
	b.rec.close()
	if b.rec.violations > 0 {
		return exitBroken
	}
	return exitHeld
}

// address returns a loopback address of this run.
func (b *bed) address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.net[0], b.net[1], byte(n)})
}

// freePorts returns three free ports of the first address.
func freePorts(b *bed) []uint16 {
	var list []uint16
	for range 3 {
		l, err := net.Listen("tcp4", addressOf(b.address(1), 0).String())
		b.must(err)
		defer l.Close()
		list = append(list, l.Addr().(*net.TCPAddr).AddrPort().Port())
	}
	return list
}

// configure writes the operator's configuration.
func (b *bed) configure(routes []route, services []serviceOptions) {
	b.version++
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "hostname": r.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.address.Port()),
			"route_kind": r.kind, "timeout_ms": 2500, "target_latency_ms": r.aim, "priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{
			"name": s.name, "health_check_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false,
			"warmup_s": s.warmupS, "warmup_per_s": s.warmupPerS,
		})
	}
	data, err := json.Marshal(map[string]any{
		"version": b.version, "routes": rs, "services": ss, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
	b.must(err)
	b.store.Put("op/config", data)
}

// launch starts all VMs and the routers and waits until all VMs are in rotation.
func (b *bed) launch(ctx context.Context) {
	for _, v := range b.vms {
		v.start()
	}
	for _, list := range b.routers.nodes {
		for _, n := range list {
			go b.routers.watch(ctx, n)
		}
	}
	for range 100 {
		if b.routers.allIn() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(notRun{fmt.Errorf("not all VMs became ready")})
}

// setStoreDown sets whether the store is down: calls to it get no answer.
func (b *bed) setStoreDown(down bool) {
	b.rec.event("the store is down: %v", down)
	b.storeDown.Store(down)
	fault := lhplatformstand.FaultNone
	if down {
		fault = lhplatformstand.FaultHang
	}
	b.store.SetFault(fault)
}
