package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhops"
	lhplatformstand "github.com/laburnumhollow/laburnumhollow/platform/stand"
)

// The soak runs the program as processes of its own between stand-ins of the
// platform, disturbs all of them from outside in an order that a seed decides, and
// checks what callers and backend servers see. A seed decides what is done and when, not
// how the system's scheduler interleaves it.
var (
	soakSeed  = flag.Uint64("soak.seed", 0, "first seed of the soak; 0 for the regression seeds")
	soakSeeds = flag.Int("soak.seeds", 1, "how many seeds from the first one on")
	soakTime  = flag.Duration("soak.time", 6*time.Second, "how long each seed disturbs")
)

// regressionSeeds have failed once, or stand for the short run in CI:
//
//	1: the short run.
//
// Seed 234 failed for ports that two soaks or two listeners of a VM were both given,
// whatever the seed; TestFreePorts stands for it.
var regressionSeeds = []uint64{1}

const (
	soakVMs     = 4
	soakServers = 5
	soakCallers = 6
	// firstCaller is the last byte of the first caller's address, behind those of VMs.
	firstCaller = 100
	// soakPort is the port of all VMs and callers, each at an address of its own.
	soakPort = 4096
	// soakPatience bounds a request: many times what the longest disturbance lasts.
	soakPatience = 20 * time.Second
	// undisturbed is how long after a disturbance of its server a flow may break.
	undisturbed = 4 * time.Second
)

var soakService = netip.MustParseAddrPort("198.18.0.1:8443")

func TestSoak(t *testing.T) {
	seeds := regressionSeeds
	if *soakSeed != 0 {
		seeds = nil
		for i := range *soakSeeds {
			seeds = append(seeds, *soakSeed+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is one run.
type soak struct {
	t       *testing.T
	random  *rand.Rand
	dir     string
	store   *lhplatformstand.Store
	vms     []*soakVM
	callers []*lhplatformstand.Caller
	version int

	mu      sync.Mutex
	servers []*soakServer
	// faults are broken promises; steps is what was done.
	faults, steps []string
	requests      int
}

// soakVM is a place for a process.
type soakVM struct {
	name, settings, ready, ops string
	data                       netip.AddrPort
	proxy                      *lhplatformstand.Proxy
	log                        *logBuffer
	command                    *exec.Cmd
	ended                      chan struct{}
	// down is set while the process is stopped or paused on purpose.
	down bool
}

// soakServer is a backend server with the time when it was last disturbed.
type soakServer struct {
	*lhplatformstand.Server
	number    uint32
	disturbed time.Time
	// leaving is set once the server drains or is silent for good.
	leaving bool
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, 0)), dir: t.TempDir(), store: lhplatformstand.NewStore()}
	t.Cleanup(s.store.Close)
	s.configure()
	for range soakServers {
		s.addServer()
	}
	var ports [soakVMs][]netip.AddrPort
	var contacts []string
	for i := range ports {
		ports[i] = freePorts(t, soakHost(1+i), 3)
		contacts = append(contacts, ports[i][2].String())
	}
	for i := range ports {
		s.addVM(i, ports[i], strings.Join(contacts, ","))
	}
	for i := range soakCallers {
		c, err := lhplatformstand.NewCaller(netip.AddrPortFrom(soakHost(firstCaller+i), soakPort))
		assert.NilError(t, err)
		t.Cleanup(c.Close)
		s.callers = append(s.callers, c)
	}
	return s
}

// soakHost returns one of the loopback addresses that only this process uses, so that
// soaks at the same time don't take each other's ports.
func soakHost(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(128 | pid>>8), byte(pid), byte(n)})
}

// freePorts returns different TCP ports that are free at a host.
func freePorts(t *testing.T, host netip.Addr, n int) []netip.AddrPort {
	t.Helper()
	var list []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		assert.NilError(t, err)
		// A port that is closed before the next one is chosen may be chosen again.
		defer l.Close()
		list = append(list, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return list
}

func TestFreePorts(t *testing.T) {
	for range 5000 {
		list := freePorts(t, soakHost(1), 3)
		assert.Assert(t, list[0] != list[1] && list[0] != list[2] && list[1] != list[2], "%v", list)
	}
}

func (s *soak) configure() {
	s.version += 1 + s.random.IntN(3)
	s.store.Configure(s.version, lhplatformstand.Route{Name: "r", Service: "orders", Address: soakService, Once: true})
}

func (s *soak) addServer() {
	n := uint32(len(s.servers) + 1)
	server, err := lhplatformstand.NewServer(n, "orders", fmt.Sprintf("dc-%d", n%2), soakPort)
	assert.NilError(s.t, err)
	s.t.Cleanup(server.Close)
	server.Register(s.store, "ready", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, &soakServer{Server: server, number: n})
}

func (s *soak) addVM(i int, ports []netip.AddrPort, contacts string) {
	proxy, err := lhplatformstand.NewProxy(strings.TrimPrefix(s.store.URL(), "http://"))
	assert.NilError(s.t, err)
	s.t.Cleanup(proxy.Close)
	v := &soakVM{name: fmt.Sprintf("vm-%d", i), proxy: proxy, log: &logBuffer{}}
	v.data = netip.AddrPortFrom(soakHost(1+i), soakPort)
	v.ready, v.ops = ports[0].String(), ports[1].String()
	v.settings = filepath.Join(s.dir, v.name+".ini")
	text := fmt.Sprintf("[vm]\nname = %s\ndatacentre = dc-%d\n[listen]\ndata = %s\nready = %s\ncontrol = %s\nops = %s\n[peers]\ncontact = %s\n[platform]\nurl = %s\n",
		v.name, i%2, v.data, v.ready, ports[2], v.ops, contacts, proxy.URL())
	assert.NilError(s.t, os.WriteFile(v.settings, []byte(text), 0o600))
	s.vms = append(s.vms, v)
	s.launch(v)
}

// launch starts the process of a VM.
func (s *soak) launch(v *soakVM) {
	v.command = exec.Command(os.Args[0], "marked", "--settings", v.settings)
	v.command.Env = append(os.Environ(), commandVariable+"=1")
	v.command.Stdout, v.command.Stderr = v.log, v.log
	assert.NilError(s.t, v.command.Start())
	command, ended := v.command, make(chan struct{})
	v.ended = ended
	go func() {
		// How a process ends is checked by who ends it.
		_ = command.Wait()
		close(ended)
	}()
	s.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
	})
}

func (s *soak) run() {
	s.await("all VMs are ready", func() bool {
		for _, v := range s.vms {
			if !v.isReady() {
				return false
			}
		}
		return true
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	parts := []func(context.Context){s.routeReady, s.watchRevisions}
	for _, c := range s.callers {
		parts = append(parts, func(ctx context.Context) { s.call(ctx, c) })
	}
	for _, part := range parts {
		go func() {
			part(ctx)
			ended <- struct{}{}
		}()
	}
	s.disturb()
	s.calm()
	stop()
	for range parts {
		<-ended
	}
	s.judge()
}

// routeReady sends callers' packets to the VMs that are ready, as routers do.
func (s *soak) routeReady(ctx context.Context) {
	misses := make([]int, len(s.vms))
	for ctx.Err() == nil {
		var to, all []netip.AddrPort
		for i, v := range s.vms {
			all = append(all, v.data)
			misses[i]++
			if v.isReady() {
				misses[i] = 0
			}
			if misses[i] < 2 {
				to = append(to, v.data)
			}
		}
		if len(to) == 0 {
			to = all
		}
		for _, c := range s.callers {
			c.SetVMs(to...)
		}
		pause(ctx, 100*time.Millisecond)
	}
}

func (v *soakVM) isReady() bool { return lhplatformstand.IsReady(context.Background(), v.ready) }

// dump returns the state of a VM that answers.
func (v *soakVM) dump(ctx context.Context) (lhops.Dump, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	client, err := lhops.NewClient("http://"+v.ops, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	if err != nil {
		return lhops.Dump{}, err
	}
	return client.Dump(ctx, "")
}

// watchRevisions checks that no process goes back to an older configuration.
func (s *soak) watchRevisions(ctx context.Context) {
	type seen struct {
		process  int
		revision uint64
	}
	last := make(map[string]seen)
	for ctx.Err() == nil {
		for _, v := range s.vms {
			s.mu.Lock()
			process := v.command.Process.Pid
			s.mu.Unlock()
			d, err := v.dump(ctx)
			s.mu.Lock()
			same := process == v.command.Process.Pid
			s.mu.Unlock()
			if err != nil || !same {
				continue
			}
			if before := last[v.name]; before.process == process && d.Revision < before.revision {
				s.fault("%s went from revision %d back to %d", v.name, before.revision, d.Revision)
			}
			last[v.name] = seen{process, d.Revision}
		}
		pause(ctx, 200*time.Millisecond)
	}
}

// call keeps opening flows and sending requests on them.
func (s *soak) call(ctx context.Context, c *lhplatformstand.Caller) {
	for ctx.Err() == nil {
		begun := time.Now()
		flow, err := c.Open(soakService)
		for err != nil && ctx.Err() == nil && time.Since(begun) < soakPatience {
			flow, err = c.Open(soakService)
		}
		if err != nil {
			if ctx.Err() == nil {
				s.fault("no flow could be opened in %v: %v", soakPatience, err)
			}
			continue
		}
		s.use(ctx, flow)
		flow.Close()
	}
}

// use sends requests on a flow until it breaks, and judges how it breaks.
func (s *soak) use(ctx context.Context, flow *lhplatformstand.Flow) {
	for range 40 {
		s.mu.Lock()
		s.requests++
		request := fmt.Appendf(nil, "request %d", s.requests)
		s.mu.Unlock()
		mark := flow.Mark()
		err := flow.Request(request, soakPatience)
		if err != nil {
			if !s.excused(mark) {
				s.fault("%s on a flow at server %d: %v", request, mark, err)
			}
			return
		}
		pause(ctx, 30*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
	}
}

// excused reports whether a flow of the server with a number may have broken.
func (s *soak) excused(number uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number == 0 || int(number) > len(s.servers) {
		return false
	}
	server := s.servers[number-1]
	return server.leaving || time.Since(server.disturbed) < undisturbed+soakPatience
}

func (s *soak) fault(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, values...))
}

func (s *soak) step(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, fmt.Sprintf(format, values...))
}

// disturb does one thing after the other, some of which last while others begin.
func (s *soak) disturb() {
	begun := time.Now()
	ended := make(chan struct{})
	lasting := 0
	for time.Since(begun) < *soakTime {
		lasts := time.Duration(300+s.random.IntN(2500)) * time.Millisecond
		if undo := s.pick(lasts); undo != nil {
			lasting++
			go func() {
				time.Sleep(lasts)
				undo()
				ended <- struct{}{}
			}()
		}
		time.Sleep(time.Duration(50+s.random.IntN(500)) * time.Millisecond)
	}
	for ; lasting > 0; lasting-- {
		<-ended
	}
}

// pick begins a disturbance and returns what ends it, or nil where it ends by itself.
func (s *soak) pick(lasts time.Duration) (undo func()) {
	v := s.vms[s.random.IntN(len(s.vms))]
	switch s.random.IntN(11) {
	case 0, 1:
		return s.stopVM(v, syscall.SIGKILL)
	case 2:
		return s.stopVM(v, syscall.SIGTERM)
	case 3:
		return s.pauseVM(v)
	case 4:
		s.step("hangup to %s", v.name)
		_ = v.command.Process.Signal(syscall.SIGHUP)
	case 5, 6:
		link := lhplatformstand.Link(1 + s.random.IntN(4))
		s.step("link %d between %s and the store for %v", link, v.name, lasts)
		v.proxy.Set(link)
		return func() { v.proxy.Set(lhplatformstand.Open) }
	case 7:
		fault := lhplatformstand.Fault(1 + s.random.IntN(4))
		s.step("store fault %d for %v", fault, lasts)
		s.store.Fail(fault)
		return func() { s.store.Fail(lhplatformstand.Works) }
	case 8:
		s.step("store forgets, leases lapse")
		s.store.Forget()
		s.store.LapseAll()
	case 9:
		s.step("configuration")
		s.configure()
	case 10:
		return s.replaceServer()
	}
	return nil
}

// stopVM ends a process, which is started again after the time, unless it would be
// the last but one.
func (s *soak) stopVM(v *soakVM, signal syscall.Signal) (undo func()) {
	if !s.take(v) {
		return nil
	}
	s.step("signal %d to %s", signal, v.name)
	_ = v.command.Process.Signal(signal)
	return func() {
		<-v.ended
		s.mu.Lock()
		s.launch(v)
		v.down = false
		s.mu.Unlock()
	}
}

func (s *soak) pauseVM(v *soakVM) (undo func()) {
	if !s.take(v) {
		return nil
	}
	s.step("%s stands still", v.name)
	_ = v.command.Process.Signal(syscall.SIGSTOP)
	return func() {
		_ = v.command.Process.Signal(syscall.SIGCONT)
		s.mu.Lock()
		defer s.mu.Unlock()
		v.down = false
	}
}

// take claims a VM for a disturbance that takes it out, while two others run.
func (s *soak) take(v *soakVM) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	up := 0
	for _, o := range s.vms {
		if !o.down {
			up++
		}
	}
	if v.down || up <= 2 {
		return false
	}
	v.down = true
	return true
}

// replaceServer adds a server and takes one away: it drains first, or falls silent.
func (s *soak) replaceServer() (undo func()) {
	s.addServer()
	s.mu.Lock()
	var gone *soakServer
	for _, server := range s.servers {
		if !server.leaving {
			gone = server
			break
		}
	}
	gone.leaving, gone.disturbed = true, time.Now()
	s.mu.Unlock()
	if s.random.IntN(2) == 0 {
		s.step("server %d is silent and then gone", gone.number)
		gone.SetSilent(true)
	} else {
		s.step("server %d drains and then leaves", gone.number)
		gone.Register(s.store, "draining", 2)
	}
	return func() { s.store.Remove(gone.Key()) }
}

// calm waits until all VMs know the same again, and that new flows go on.
func (s *soak) calm() {
	s.await("all VMs are ready and know the newest configuration and each other", func() bool {
		if s.store.Members() != len(s.vms) {
			return false
		}
		for _, v := range s.vms {
			d, err := v.dump(context.Background())
			if err != nil || !d.Health.Ready() || d.Revision != uint64(s.version) || len(d.Services[0].Servers) != s.serving() {
				return false
			}
		}
		return true
	})
	before := s.answered()
	s.await("requests are answered", func() bool { return s.answered() > before+50 })
}

func (s *soak) serving() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, server := range s.servers {
		if !server.leaving {
			n++
		}
	}
	return n
}

func (s *soak) answered() int { return len(s.ran()) }

// ran returns how often each request has run at all servers together.
func (s *soak) ran() map[string]int {
	s.mu.Lock()
	servers := append([]*soakServer(nil), s.servers...)
	s.mu.Unlock()
	sum := make(map[string]int)
	for _, server := range servers {
		for request, n := range server.Ran() {
			sum[request] += n
		}
	}
	return sum
}

// judge reports what was broken, with the seed's steps and the logs of all VMs.
func (s *soak) judge() {
	for request, n := range s.ran() {
		if n > 1 {
			s.fault("%s has run %d times", request, n)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%d steps, %d requests", len(s.steps), s.requests)
	if len(s.faults) == 0 {
		return
	}
	s.t.Errorf("broken:\n%s\nsteps:\n%s", strings.Join(s.faults, "\n"), strings.Join(s.steps, "\n"))
	s.keepLogs()
}

// keepLogs writes the logs of all VMs to a folder that stays.
func (s *soak) keepLogs() {
	dir, err := os.MkdirTemp("", "soak-")
	assert.NilError(s.t, err)
	for _, v := range s.vms {
		assert.NilError(s.t, os.WriteFile(filepath.Join(dir, v.name+".log"), []byte(v.log.String()), 0o600))
	}
	s.t.Logf("logs in %s", dir)
}

func (s *soak) await(what string, condition func() bool) {
	s.t.Helper()
	begun := time.Now()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		if time.Since(begun) > patience {
			s.keepLogs()
			return poll.Error(fmt.Errorf("not in %v: %s; steps: %v", patience, what, s.steps))
		}
		return poll.Continue("%s; steps: %v", what, s.steps)
	}, poll.WithTimeout(2*patience), poll.WithDelay(20*time.Millisecond))
}

// pause waits for a time or for the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// TestMarkedCommand checks how the command starts and ends.
func TestMarkedCommand(t *testing.T) {
	code, _, stderr := runCLI(t, "marked")
	assert.Equal(t, code, exitUsage)
	assert.Assert(t, strings.Contains(stderr, "neither --settings nor the platform"))
	bad := writeFile(t, t.TempDir(), "vm.ini", "[vm]\nname = a\n")
	code, _, stderr = runCLI(t, "marked", "--settings", bad)
	assert.Equal(t, code, exitError)
	assert.Assert(t, strings.Contains(stderr, "listen.data"))
	s := newSoak(t, 1)
	s.await("ready", s.vms[0].isReady)
	assert.NilError(t, s.vms[0].command.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, s.vms[0].command.Process.Signal(syscall.SIGTERM))
	<-s.vms[0].ended
	assert.Equal(t, s.vms[0].command.ProcessState.ExitCode(), exitOK)
	for _, line := range []string{`"message":"started"`, `"message":"settings read again; nothing has changed"`, `"message":"stopped"`} {
		assert.Assert(t, strings.Contains(s.vms[0].log.String(), line), "%s", line)
	}
}
