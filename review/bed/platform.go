package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	lhplatformstand "github.com/laburnumhollow/laburnumhollow/platform/stand"
)

// vm is a machine of the system with its process.
type vm struct {
	b             *bed
	name, zone    string
	settings, log string
	data          netip.AddrPort
	ready         string
	proxy         *lhplatformstand.Proxy

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// disturbed holds the time of the latest disruption, or the future end of one.
	disturbed time.Time
}

// render fills in the project's template of settings as the platform does.
func render(template string, values map[string]string) string {
	for {
		m := regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/([a-z_.]+)\}\}\n?`).FindStringSubmatchIndex(template)
		if m == nil {
			break
		}
		body := ""
		if values[template[m[2]:m[3]]] != "" {
			body = template[m[4]:m[5]]
		}
		template = template[:m[0]] + body + template[m[1]:]
	}
	return regexp.MustCompile(`\{\{[a-z_.]+\}\}`).ReplaceAllStringFunc(template, func(p string) string {
		return values[strings.Trim(p, "{}")]
	})
}

// start starts the process as the deploy file says.
func (v *vm) start() {
	v.mu.Lock()
	defer v.mu.Unlock()
	out, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	v.b.must(err)
	defer out.Close()
	c := exec.Command(filepath.Join(v.b.root, "target/laburnumhollow"), "marked")
	c.Dir = v.b.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMHOLLOW_NODE_FILE=" + v.settings}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	v.b.must(c.Start())
	v.command, v.ended = c, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(v.ended)
	v.b.rec.event("%s: process %d started", v.name, c.Process.Pid)
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.b.rec.event("%s: signal %v", v.name, s)
	_ = v.command.Process.Signal(s)
}

// stop ends the process.
func (v *vm) stop() {
	v.mu.Lock()
	c, ended := v.command, v.ended
	v.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-ended
	}
}

// disturb records that the machine is disturbed until a time from now.
func (v *vm) disturb(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if until := time.Now().Add(d); until.After(v.disturbed) {
		v.disturbed = until
	}
}

// calm records that the disturbance of the machine ends.
func (v *vm) calm() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.disturbed = time.Now()
}

// inTouch reports whether the machine was not disturbed for the stable window before now.
func (v *vm) inTouch() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.disturbed) > stableWindow
}

// routers are the platform's routers.
type routers struct {
	mu    sync.Mutex
	zones []string
	nodes map[string][]*node
}

// node is a VM as the routers see it.
type node struct {
	vm     *vm
	misses int
	in     bool
}

// pick returns the VM that a flow's packets are sent to.
func (r *routers) pick(zone string, hash uint32) *vm {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.rotation(zone)
	for _, other := range r.zones {
		if len(list) > 0 {
			break
		}
		list = r.rotation(other)
	}
	if len(list) == 0 {
		return nil
	}
	if all := r.nodes[list[0].zone]; 2*len(list) < len(all) {
		list = nil
		for _, n := range all {
			list = append(list, n.vm)
		}
	}
	return list[int(hash)%len(list)]
}

func (r *routers) rotation(zone string) []*vm {
	var list []*vm
	for _, n := range r.nodes[zone] {
		if n.in {
			list = append(list, n.vm)
		}
	}
	return list
}

// watch polls a VM twice a second.
func (r *routers) watch(ctx context.Context, n *node) {
	for ctx.Err() == nil {
		began := time.Now()
		ok := lhplatformstand.IsReady(ctx, n.vm.ready)
		r.mu.Lock()
		before := n.in
		if ok {
			n.misses, n.in = 0, true
		} else if n.misses++; n.misses >= 2 {
			n.in = false
		}
		changed := before != n.in
		r.mu.Unlock()
		if changed {
			n.vm.b.rec.event("routers: %s in rotation: %v", n.vm.name, n.in)
		}
		sleep(ctx, 500*time.Millisecond-time.Since(began))
	}
}

// allIn reports whether all VMs are in rotation.
func (r *routers) allIn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, list := range r.nodes {
		if slices.ContainsFunc(list, func(n *node) bool { return !n.in }) {
			return false
		}
	}
	return true
}

// addVM adds a VM, which is started by start.
func (b *bed) addVM(i int, zone string, bounds map[string]string) *vm {
	proxy, err := lhplatformstand.NewProxy(strings.TrimPrefix(b.store.URL(), "http://"))
	b.must(err)
	at := b.address(1 + i)
	v := &vm{
		b: b, name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, proxy: proxy,
		data: netip.AddrPortFrom(at, b.dataPort), ready: netip.AddrPortFrom(at, b.readyPort).String(),
	}
	v.settings, v.log = filepath.Join(b.dir, v.name+".ini"), filepath.Join(b.dir, v.name+".log")
	var seeds []string
	for _, s := range b.seeds {
		seeds = append(seeds, s.String())
	}
	values := map[string]string{
		"node_name": v.name, "zone": zone, "ip_address": at.String(),
		"listen_addresses.datagram_address": v.data.String(), "listen_addresses.ready": v.ready,
		"listen_addresses.control": netip.AddrPortFrom(at, b.controlPort).String(),
		"seed_nodes":               strings.Join(seeds, ","),
		"platform.address":         strings.TrimPrefix(proxy.URL(), "http://"),
		"limits.memory_mb":         "284", "limits.cpu_share": "0.4", "limits.link_mbps": "1000.0", "bounds.grace_s": "6",
	}
	for name, value := range bounds {
		values[name] = value
	}
	template, err := os.ReadFile(filepath.Join(b.root, "deploy/vm.ini"))
	b.must(err)
	b.must(os.WriteFile(v.settings, []byte(render(string(template), values)), 0o600))
	b.vms = append(b.vms, v)
	b.routers.nodes[zone] = append(b.routers.nodes[zone], &node{vm: v})
	if !slices.Contains(b.routers.zones, zone) {
		b.routers.zones = append(b.routers.zones, zone)
	}
	return v
}
