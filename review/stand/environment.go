package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	lhplatformstand "github.com/laburnumhollow/laburnumhollow/platform/stand"
)

const (
	program  = "target/laburnumhollow"
	template = "deploy/settings.ini"
	// opsPort is the port that the template gives to the metrics.
	opsPort = 9464
	// startTimeout is how long VMs may take until they are in rotation.
	startTimeout = 20 * time.Second
)

// environment is a deployment with its stand-ins.
type environment struct {
	rec    *recorder
	router *router
	store  *lhplatformstand.Store
	folder string
	// net is the second and third byte of all addresses of the deployment.
	net                              [2]byte
	dataPort, readyPort, controlPort uint16
	mu                               sync.Mutex
	vms                              []*vm
	endpoints                        []*endpoint
	requesters                       []*requester
	seeds                            []string
}

// vm is an entry VM: a process of the project.
type vm struct {
	node
	zone    string
	command *exec.Cmd
	exited  chan struct{}
}

func newEnvironment(ctx context.Context, rec *recorder) (*environment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	e := &environment{rec: rec, router: &router{rec: rec}, store: lhplatformstand.NewStore(), folder: folder}
	for range 100 {
		e.net = [2]byte{byte(1 + rand.IntN(250)), byte(rand.IntN(250))}
		e.dataPort = uint16(20000 + rand.IntN(10000))
		e.readyPort, e.controlPort = e.dataPort+1, e.dataPort+2
		if e.portsAreFree() {
			return e, ctx.Err()
		}
	}
	return nil, errors.New("no free ports found")
}

// address returns a loopback address of the deployment.
func (e *environment) address(last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, e.net[0], e.net[1], last})
}

func (e *environment) portsAreFree() bool {
	for last := range byte(40) {
		for _, port := range []uint16{e.readyPort, e.controlPort, opsPort} {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(e.address(last), port).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(e.address(last), e.dataPort)))
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return true
}

// startVM starts a VM at the address with the given last byte. The first three are contacts
// of the others.
func (e *environment) startVM(ctx context.Context, zone string, last byte) (*vm, error) {
	address := e.address(last)
	v := &vm{zone: zone, exited: make(chan struct{}), node: node{
		name: fmt.Sprintf("frontend-%s-%d", zone, last), data: netip.AddrPortFrom(address, e.dataPort), ready: netip.AddrPortFrom(address, e.readyPort),
	}}
	control := netip.AddrPortFrom(address, e.controlPort).String()
	if len(e.seeds) < 3 {
		e.seeds = append(e.seeds, control)
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	settings := strings.NewReplacer(
		"{{node_name}}", v.name, "{{zone}}", zone, "{{ip_address}}", address.String(),
		"{{listen_addresses.datagram_address}}", v.data.String(), "{{listen_addresses.ready}}", v.ready.String(),
		"{{listen_addresses.control}}", control, "{{seed_nodes}}", strings.Join(e.seeds, ","),
		"{{platform.address}}", strings.TrimPrefix(e.store.URL(), "http://"), "{{limits.memory_mb}}", "284", "{{bounds.grace_s}}", "6",
	).Replace(string(text))
	if strings.Contains(settings, "{{") {
		return nil, errors.New("the template of the settings has an unknown placeholder")
	}
	path := filepath.Join(e.folder, v.name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(e.folder, v.name+".log"))
	if err != nil {
		return nil, err
	}
	v.command = exec.Command(program, "marked")
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + e.folder, "LABURNUMHOLLOW_NODE_FILE=" + path}
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return nil, err
	}
	e.rec.printf("VM %s started, process %d", v.name, v.command.Process.Pid)
	go func() {
		err := v.command.Wait()
		e.rec.printf("VM %s ended: %v", v.name, err)
		close(v.exited)
	}()
	e.mu.Lock()
	e.vms = append(e.vms, v)
	e.mu.Unlock()
	e.router.add(ctx, &v.node)
	return v, nil
}

// signal sends a signal to the process of a VM.
func (e *environment) signal(v *vm, s syscall.Signal) {
	e.rec.printf("VM %s gets signal %v", v.name, s)
	_ = v.command.Process.Signal(s)
}

// awaitRotation waits until a number of VMs are in rotation.
func (e *environment) awaitRotation(ctx context.Context, count int) error {
	return e.await(ctx, fmt.Sprintf("%d VMs in rotation", count), startTimeout, func() bool { return e.router.inRotation() == count })
}

// await waits until a condition holds.
func (e *environment) await(ctx context.Context, what string, limit time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.New("not reached: " + what)
}

// startEndpoint starts an endpoint and registers it.
func (e *environment) startEndpoint(last byte, service, zone string, slots, maxConns int) (*endpoint, error) {
	s, err := newEndpoint(netip.AddrPortFrom(e.address(last), 8080), uint64(rand.Uint32()|1), service, zone, e.dataPort, slots, maxConns, e.rec)
	if err != nil {
		return nil, err
	}
	e.endpoints = append(e.endpoints, s)
	s.register(e.store, "ready")
	return s, nil
}

// startRequester starts a requester.
func (e *environment) startRequester(last byte) (*requester, error) {
	q, err := newRequester(netip.AddrPortFrom(e.address(last), e.dataPort), e.router, e.rec)
	if err == nil {
		e.requesters = append(e.requesters, q)
	}
	return q, err
}

// configuration is what the operator declares.
type configuration struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
}

// route is a route of the configuration.
type route struct {
	Name     string `json:"name"`
	Hostname string `json:"hostname"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"route_kind"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

// address returns the address that requesters of the route connect to.
func (r *route) address() netip.AddrPort {
	return netip.MustParseAddrPort(r.Hostname + ":" + strings.Trim(r.Prefix, "/"))
}

// newRoute returns a route with a number, which determines its address.
func newRoute(n int, kind, service string) route {
	return route{
		Name: fmt.Sprintf("r-%07d", n), Hostname: fmt.Sprintf("127.200.%d.%d", n/250, 1+n%250), Prefix: "/8443/", Kind: kind,
		Timeout: 1500, Target: 150, Priority: 2, Service: service, Attempts: 2,
	}
}

// newConfiguration returns a configuration without routes.
func newConfiguration(idleMS, maxConns int, services ...string) *configuration {
	c := &configuration{Version: 1, Routes: []route{}, Limits: map[string]int{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleMS,
	}}
	for _, s := range services {
		c.Services = append(c.Services, map[string]any{
			"name": s, "health_check_path": "/health", "max_connections": maxConns, "protocol": "h1", "tls": false,
		})
	}
	return c
}

// put writes the configuration as its next version and returns when the store has confirmed it.
func (e *environment) put(c *configuration) time.Time {
	c.Version += 1 + rand.IntN(4)
	data, _ := json.Marshal(c)
	e.store.Put("op/config", data)
	e.rec.printf("operator: version %d confirmed, %d routes, %d bytes", c.Version, len(c.Routes), len(data))
	return time.Now()
}

func (e *environment) close() {
	for _, v := range e.vms {
		_ = v.command.Process.Signal(syscall.SIGCONT)
		_ = v.command.Process.Kill()
		<-v.exited
	}
	for _, q := range e.requesters {
		_ = q.conn.Close()
	}
	for _, s := range e.endpoints {
		s.close()
	}
	e.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.folder)
	} else {
		fmt.Println(e.folder)
	}
}
