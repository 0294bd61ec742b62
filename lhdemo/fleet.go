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

// Fleet is a group of entry VMs in a simulated environment. Its zero value is ready
// to start. Only one goroutine may change a fleet; its state may be read by any.
type Fleet struct {
	// Log returns the logger of a VM; nil discards all logs. Set it before Start.
	Log func(vm string) zerolog.Logger

	layout   Layout
	platform lhstand.Platform
	fabric   lhstand.Fabric
	servers  []*server
	// platformStarted is set once the platform serves, and makes Close stop it.
	platformStarted bool
	// appliedFiles is the configuration in force, by file name.
	appliedFiles map[string]string
	revision     int
	// ctx is the context of the simulated environment and of all VMs; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// vms holds all VMs ever started, in order.
	vms []*VM
}

// server is a simulated backend server with its configuration.
type server struct {
	lhstand.BackendServer
	dataCentre string
	draining   bool
	// reportURL is the URL of the load report; empty if the server has none.
	reportURL string
}

// Start starts the simulated environment and the VMs, and waits until all VMs
// serve. Close must be called even if Start fails.
func (f *Fleet) Start(ctx context.Context, layout Layout) error {
	layout.Slots = max(layout.Slots, 1)
	if err := layout.validate(); err != nil {
		return err
	}
	f.layout = layout
	f.ctx, f.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := f.startSimulation(); err != nil {
		return lhcode.Wrap(lhcode.SocketFailed, err, "start the simulated environment")
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
	f.fabric.CountPerFlow = true
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

// configureServer sets the work time and the load reports of a server.
func (f *Fleet) configureServer(s *server) error {
	mode, reports := f.layout.Reports.mode()
	s.UpdateBehavior(func(b *lhstand.Behavior) { b.ServiceTime, b.ReportMode = f.layout.Work, mode })
	if !reports {
		return nil
	}
	var err error
	s.reportURL, err = s.StartReport(f.ctx)
	return err
}

// Close stops all VMs and the simulated environment immediately. It joins the first
// error of each.
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

// Fabric returns the simulated fabric, through which callers open flows.
func (f *Fleet) Fabric() *lhstand.Fabric { return &f.fabric }

// Servers returns the backend servers.
func (f *Fleet) Servers() []*lhstand.BackendServer {
	list := make([]*lhstand.BackendServer, len(f.servers))
	for i, s := range f.servers {
		list[i] = &s.BackendServer
	}
	return list
}

// VMs returns all VMs ever started, including stopped ones.
func (f *Fleet) VMs() []*VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*VM(nil), f.vms...)
}

// SetFaults sets the faults of the paths between the VMs and both the fabric and
// the backend servers.
func (f *Fleet) SetFaults(faults lhstand.Faults) {
	f.fabric.SetFaults(faults)
	for _, s := range f.servers {
		s.SetFaults(faults)
	}
}

// Drain stops new flows to a backend server and waits until all VMs have applied the
// change.
func (f *Fleet) Drain(ctx context.Context, name string) error { return f.setDraining(ctx, name, true) }

// Restore lets a drained backend server receive new flows again.
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
	return nil, lhcode.Newf(lhcode.NotFound, "unknown backend server %q", name)
}

// StartVM starts a VM. It receives packets after a call of AwaitServing.
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

// Stop stops a VM gracefully and waits for its end. It first waits until all VMs
// have handed over the records that earlier membership changes reassigned. Once the
// VM is leaving, the fabric and the backend servers send it no more packets.
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

// handedOver reports whether no VM has pending records to hand over.
func (f *Fleet) handedOver() bool {
	for _, vm := range f.runningVMs() {
		if vm.Dump().Table.Pending > 0 {
			return false
		}
	}
	return true
}

// vm returns the running VM with a name.
func (f *Fleet) vm(name string) (*VM, error) {
	for _, vm := range f.runningVMs() {
		if vm.name == name {
			return vm, nil
		}
	}
	return nil, lhcode.Newf(lhcode.NotFound, "no running VM %q", name)
}

// runningVMs returns the VMs that have not been told to stop.
func (f *Fleet) runningVMs() []*VM {
	var list []*VM
	for _, vm := range f.VMs() {
		if !vm.stopped() {
			list = append(list, vm)
		}
	}
	return list
}

// AwaitServing waits until every running VM serves, has the latest configuration in
// force and sees all other members active. It then routes packets to all of them.
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

// updateMembers makes the fabric and the backend servers send to the VMs that have
// not been told to stop, as the platform does based on its health checks.
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

// applyConfig has the configuration accepted as the next revision, if it changed.
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

// pollPeriod is the interval between two checks of a condition.
const pollPeriod = 20 * time.Millisecond

// await polls until a condition holds. The error names what was awaited.
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
