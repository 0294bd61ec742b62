package lhdemo

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// Fleet is a group of entry VMs between stand-ins. Its zero value can be started.
// Changes of the fleet are made by one goroutine; what it shows may be read by any.
type Fleet struct {
	// Log gives the log of a VM; nil drops all logs. Set it before Start.
	Log func(vm string) zerolog.Logger

	layout   Layout
	platform lhstand.Platform
	fabric   lhstand.Fabric
	servers  []*server
	// platformStarted is set once the platform serves.
	platformStarted bool
	// appliedFiles are the files in force, by their names.
	appliedFiles map[string]string
	revision     int
	// ctx is that of the stand-ins; end ends it.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// vms holds the VMs that were ever started, in this order.
	vms []*VM
}

// server is a backend server with what the configuration says of it.
type server struct {
	lhstand.BackendServer
	dataCentre string
	draining   bool
	// reportURL is the URL of the load reportURL; empty for none.
	reportURL string
}

// Start starts stand-ins and VMs and returns when all VMs serve. Close must be
// called also after an error.
func (f *Fleet) Start(ctx context.Context, layout Layout) error {
	layout.Slots = max(layout.Slots, 1)
	if err := layout.validate(); err != nil {
		return err
	}
	f.layout = layout
	f.ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := f.startSimulation(); err != nil {
		return lhcode.Wrap(lhcode.SocketFailed, err, "start the stand-ins")
	}
	if err := f.applyConfig(ctx); err != nil {
		return err
	}
	for range layout.VMs {
		if _, err := f.StartVM(ctx); err != nil {
			return err
		}
	}
	return f.AwaitServing(ctx)
}

func (f *Fleet) startSimulation() error {
	if err := f.platform.Start(); err != nil {
		return err
	}
	f.platformStarted = true
	f.fabric.Seed = f.layout.Seed
	f.fabric.CountFlows = true
	if err := f.fabric.Start(f.ctx, netip.MustParseAddrPort(fabricAddress)); err != nil {
		return err
	}
	for service := range f.layout.Services {
		for n := range f.layout.Servers {
			if err := f.startServer(service, n); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startServer(service, n int) error {
	s := &server{dataCentre: f.layout.dataCentre(n)}
	s.Name, s.Service = serverName(service, n), serviceName(service)
	s.Slots = f.layout.Slots
	number := len(f.servers) + 1
	s.Seed = f.layout.Seed + uint64(number)
	address := netip.MustParseAddrPort(fmt.Sprintf(serverAddress, number))
	if err := s.Start(f.ctx, address); err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	return f.configureServer(s)
}

// configureServer sets how long a server works and what it reports of its load.
func (f *Fleet) configureServer(s *server) error {
	mode, reports := f.layout.Reports.mode()
	s.Set(func(b *lhstand.Behavior) { b.Work, b.Report = f.layout.Work, mode })
	if !reports {
		return nil
	}
	var err error
	s.reportURL, err = s.StartReport(f.ctx)
	return err
}

// Close ends all VMs and stand-ins at once and returns the first error of each.
func (f *Fleet) Close() error {
	if f.cancel == nil {
		return nil
	}
	var all error
	for _, vm := range f.VMs() {
		all = errors.Join(all, vm.kill())
	}
	f.cancel()
	for _, s := range f.servers {
		all = errors.Join(all, <-s.Done())
	}
	if !f.platformStarted {
		return all
	}
	return errors.Join(all, f.platform.Close())
}

// Fabric returns the fabric, through which callers open flows.
func (f *Fleet) Fabric() *lhstand.Fabric { return &f.fabric }

// Servers returns the backend servers.
func (f *Fleet) Servers() []*lhstand.BackendServer {
	list := make([]*lhstand.BackendServer, len(f.servers))
	for i, s := range f.servers {
		list[i] = &s.BackendServer
	}
	return list
}

// VMs returns the VMs that were ever started, also those that have stopped.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// SetFaults sets what happens to packets between the VMs and all around them.
func (f *Fleet) SetFaults(faults lhstand.Faults) {
	f.fabric.SetFaults(faults)
	for _, s := range f.servers {
		s.SetFaults(faults)
	}
}

// Drain gives a backend server no new flows, and returns when all VMs know.
func (f *Fleet) Drain(ctx context.Context, name string) error { return f.setDraining(ctx, name, true) }

// Restore gives a drained backend server new flows again.
func (f *Fleet) Restore(ctx context.Context, name string) error {
	return f.setDraining(ctx, name, false)
}

func (f *Fleet) setDraining(ctx context.Context, name string, draining bool) error {
	s, err := f.server(name)
	if err != nil {
		return err
	}
	s.draining = draining
	if err := f.applyConfig(ctx); err != nil {
		return err
	}
	return f.AwaitServing(ctx)
}

func (f *Fleet) server(name string) (*server, error) {
	for _, s := range f.servers {
		if s.Name == name {
			return s, nil
		}
	}
	return nil, lhcode.Newf(lhcode.NotFound, "no backend server %q", name)
}

// StartVM starts a VM, which gets packets once AwaitServing has seen it serve.
func (f *Fleet) StartVM(ctx context.Context) (*VM, error) {
	vm, err := f.newVM(ctx)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.vms = append(f.vms, vm)
	f.mu.Unlock()
	return vm, nil
}

// Stop stops a VM as planned, once all VMs have handed over what earlier changes
// left them to. When the VM says that it leaves, fabric and backend servers send it
// no more. Stop returns when the VM has ended.
func (f *Fleet) Stop(ctx context.Context, name string) error {
	vm, err := f.vm(name)
	if err != nil {
		return err
	}
	if err := await(ctx, "hand-over", f.handedOver); err != nil {
		return err
	}
	vm.stop()
	if err := await(ctx, name+" to leave", vm.leaving); err != nil {
		return err
	}
	f.updateMembers()
	return vm.wait(ctx)
}

// handedOver reports whether no VM has records to hand over.
func (f *Fleet) handedOver() bool {
	for _, vm := range f.runningVMs() {
		if vm.Dump().Table.Pending > 0 {
			return false
		}
	}
	return true
}

// vm returns the VM with a name, which must not have been stopped.
func (f *Fleet) vm(name string) (*VM, error) {
	for _, vm := range f.runningVMs() {
		if vm.name == name {
			return vm, nil
		}
	}
	return nil, lhcode.Newf(lhcode.NotFound, "no VM %q that serves", name)
}

// runningVMs returns the VMs that were not told to stop.
func (f *Fleet) runningVMs() []*VM {
	var list []*VM
	for _, vm := range f.VMs() {
		if !vm.stopped() {
			list = append(list, vm)
		}
	}
	return list
}

// AwaitServing waits until every VM serves, has the latest configuration in force
// and sees all others, and then lets packets go to each.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	vms := f.runningVMs()
	for _, vm := range vms {
		err := await(ctx, vm.name+" to serve", func() bool { return vm.servesRevision(len(vms), f.revision) })
		if err != nil {
			return err
		}
	}
	f.updateMembers()
	return nil
}

// updateMembers points fabric and backend servers at the VMs that were not told to stop,
// as the platform does by its health checks.
func (f *Fleet) updateMembers() {
	var list []netip.AddrPort
	for _, vm := range f.runningVMs() {
		list = append(list, vm.entry.Data())
	}
	f.fabric.SetMembers(list...)
	for _, s := range f.servers {
		s.SetMembers(list...)
	}
}

// applyConfig has the folder accepted as the next revision.
func (f *Fleet) applyConfig(ctx context.Context) error {
	hashes := make(map[string]string, len(f.appliedFiles))
	for name, text := range f.appliedFiles {
		hashes[name] = lhstore.Hash(text)
	}
	files := f.configFiles()
	change := lhstore.Change{ID: fmt.Sprintf("change-%d", f.revision+1), Files: lhstore.Diff(hashes, files)}
	if len(change.Files) == 0 {
		return nil
	}
	applier := lhstore.NewApplier(lhstore.NewClient(f.platform.URL(), nil), nil, nil, nil)
	if _, err := applier.Apply(ctx, change); err != nil {
		return err
	}
	f.appliedFiles = files
	f.revision++
	return nil
}

// pollPeriod is the time between two looks at a condition.
const pollPeriod = 20 * time.Millisecond

// await waits until a condition holds. The error names what was waited for.
func await(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return lhcode.Wrap(lhcode.NotReached, ctx.Err(), "wait for "+what)
		case <-ticker.C:
		}
	}
	return nil
}
