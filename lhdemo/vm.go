package lhdemo

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhentry"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhops"
)

// Settings of the VMs. The heartbeat is shorter than the default, so that the effect
// of a change can be observed soon.
const (
	vmWorkers   = 2
	vmFlows     = 100_000
	vmHeartbeat = 200 * time.Millisecond
	// vmSuspect leaves a margin for scheduling delays on a busy machine.
	vmSuspect = 2 * time.Second
	vmStop    = 10 * time.Second
)

// vmSeed is the group's seed. It needs no secrecy, as the fleet uses loopback only.
var vmSeed = lhflow.Seed{K0: 0x6c61627572, K1: 0x6e756d}

// VM is an entry VM of a fleet.
type VM struct {
	name       string
	dataCentre string
	entry      *lhentry.Entry
	// stopCtx ends when the VM is told to stop gracefully.
	stopCtx context.Context
	stop    context.CancelFunc
	// cancel stops the VM immediately.
	cancel context.CancelFunc
	// done is closed when the VM has ended; err is then its first error, or nil.
	done chan struct{}
	err  error
}

// newVM starts the next VM of the fleet and waits until it listens or has ended.
func (f *Fleet) newVM(ctx context.Context) (*VM, error) {
	n := len(f.VMs())
	vm := &VM{name: vmName(n), dataCentre: f.layout.dataCentre(n), done: make(chan struct{})}
	log := zerolog.Nop()
	if f.Log != nil {
		log = f.Log(vm.name)
	}
	entry, err := lhentry.New(f.settings(vm, n), log)
	if err != nil {
		return nil, err
	}
	vm.entry = entry
	vm.stopCtx, vm.stop = context.WithCancel(f.ctx)
	runCtx, end := context.WithCancel(f.ctx)
	vm.cancel = end
	result := entry.Run(vm.stopCtx, runCtx)
	go func() {
		vm.err = <-result
		close(vm.done)
	}()
	return vm, await(ctx, vm.name+" to listen", vm.listeningOrEnded)
}

// settings returns the settings of a VM by its index from 0. Its contacts are the
// running VMs.
func (f *Fleet) settings(vm *VM, n int) lhconf.Settings {
	address := netip.MustParseAddrPort(fmt.Sprintf(vmAddress, n+1))
	s := lhconf.DefaultSettings()
	s.Name, s.DataCentre, s.Group, s.Seed = vm.name, vm.dataCentre, "demo", vmSeed
	s.Data, s.Control, s.Ops = address, address, address
	s.Fabric = []netip.Addr{f.fabric.Address().Addr()}
	s.FabricTo = f.fabric.Address()
	s.Platform = f.platform.URL()
	s.Workers, s.Flows = vmWorkers, vmFlows
	s.Heartbeat, s.Suspect, s.Stop = vmHeartbeat, vmSuspect, vmStop
	for _, other := range f.runningVMs() {
		s.Peers = append(s.Peers, other.entry.Control())
	}
	return s
}

// Name returns the name of the VM.
func (v *VM) Name() string { return v.name }

// Dump returns the state of the VM, or its last state after it has ended.
func (v *VM) Dump() lhops.Dump { return v.entry.Dump() }

// Data returns the address on which the VM receives packets.
func (v *VM) Data() netip.AddrPort { return v.entry.Data() }

func (v *VM) listeningOrEnded() bool {
	select {
	case <-v.done:
		return true
	default:
		return v.entry.Control().IsValid()
	}
}

func (v *VM) leaving() bool { return v.entry.Health().State == lhops.Leaving }

func (v *VM) stopped() bool { return v.stopCtx.Err() != nil }

// servesRevision reports whether the VM serves at a revision or a later one and
// sees the given number of members, all of them active.
func (v *VM) servesRevision(members, revision int) bool {
	d := v.Dump()
	if !d.Health.Ready() || d.Revision < uint64(revision) || len(d.Members) != members {
		return false
	}
	for _, m := range d.Members {
		if m.State != lhflow.Active {
			return false
		}
	}
	return true
}

// wait waits for the VM to end and returns its first error.
func (v *VM) wait(ctx context.Context) error {
	select {
	case <-v.done:
		return v.err
	case <-ctx.Done():
		return lhcode.Wrap(lhcode.NotReached, ctx.Err(), "wait for "+v.name+" to end")
	}
}

// kill stops the VM immediately and returns its first error.
func (v *VM) kill() error {
	v.cancel()
	<-v.done
	v.stop()
	return v.err
}
