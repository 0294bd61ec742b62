package lhentry

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

const (
	// housekeepingInterval is the time between two rounds of housekeeping and hand-over.
	housekeepingInterval = 100 * time.Millisecond
	// shardsPerTick is the number of flow table shards scanned for expired records per round.
	shardsPerTick = 8
	// handOverBatchSize is the maximum number of records per hand-over call.
	handOverBatchSize = 256
	// unreachableTimeout is how long packets of unknown flows are dropped instead of
	// reset because a member is unreachable.
	unreachableTimeout = 5 * time.Minute
	// recentMemberLifetime is how long a member stays known after it has left the view.
	recentMemberLifetime = 10 * time.Minute
	// checkInterval is the time between two reachability checks of servers and members.
	checkInterval = time.Second
	// vmListInterval is the time between two reads of the platform's list of VMs.
	vmListInterval = 10 * time.Second
)

// recentMembers holds the members that are or recently were in the view, so that packets
// from a member that has just left are still accepted.
type recentMembers struct {
	// byID is immutable once stored.
	byID atomic.Pointer[map[lhflow.MemberID]recentMember]
}

// recentMember is a member and the last time it was in the view.
type recentMember struct {
	lhflow.Member
	lastSeen time.Duration
}

func (r *recentMembers) add(now time.Duration, v *lhflow.View) {
	next := make(map[lhflow.MemberID]recentMember, len(v.Members))
	if old := r.byID.Load(); old != nil {
		for id, m := range *old {
			if now-m.lastSeen < recentMemberLifetime {
				next[id] = m
			}
		}
	}
	for _, m := range v.Members {
		next[m.ID] = recentMember{Member: m, lastSeen: now}
	}
	r.byID.Store(&next)
}

func (r *recentMembers) member(id lhflow.MemberID) (lhflow.Member, bool) {
	byID := r.byID.Load()
	if byID == nil {
		return lhflow.Member{}, false
	}
	m, ok := (*byID)[id]
	return m.Member, ok
}

// setView puts a new view in force.
func (e *Entry) setView(v *lhflow.View) {
	now := e.now()
	e.recentMembers.add(now, v)
	var unreachable []lhflow.MemberID
	var unreachableDCs []string
	for _, a := range e.node.Unreachable() {
		unreachable = append(unreachable, a.Member.ID)
		if !hasMember(v, a.DataCentre) {
			unreachableDCs = append(unreachableDCs, a.DataCentre)
		}
	}
	e.unreachableDCs.Store(&unreachableDCs)
	e.work.SetUnreachable(unreachableDCs)
	e.work.SetView(now, v, unreachable)
	e.work.SetGroup(now, warmupGroup(v, e.node.Unreachable()))
	e.engine.SetView(now, v)
}

// hasMember reports whether any member of a data centre is in the view.
func hasMember(v *lhflow.View, dataCentre string) bool {
	for _, m := range v.Members {
		if m.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// watchesStore reports whether this VM watches the store for its data centre.
func (e *Entry) watchesStore() bool {
	view := e.node.View()
	return view == nil || lhstore.Watches(view)
}

// recordReceiver stores records that other members hand over.
type recordReceiver struct{ entry *Entry }

// Receive implements lhpeer.Records.
func (r recordReceiver) Receive(from lhflow.MemberID, batch []lhflow.Record) {
	r.entry.engine.Receive(r.entry.now(), from, batch)
}

// configProvider provides the configuration in force to peers.
type configProvider struct{ *lhstore.Runner }

// Revision implements lhpeer.Configs.
func (c configProvider) Revision() lhpeer.Revision {
	at := c.Position()
	return lhpeer.Revision{Number: at.Revision, Digest: at.Digest}
}

// handOver sends records to the members that lack them, and notifies each joining
// member when the hand-over to it is complete.
func (e *Entry) handOver(ctx context.Context) error {
	return every(ctx, housekeepingInterval, func() {
		view := e.engine.HandOverView()
		awaiting := e.node.PendingHandOvers()
		for _, m := range view.Members {
			if m.ID == view.Self || !e.handOverTo(ctx, m.ID) || !slices.Contains(awaiting, m.ID) {
				continue
			}
			// A member that does not know this VM yet refuses the call and stays pending.
			_ = e.node.Push(ctx, m.ID, nil, true)
		}
	})
}

// handOverTo sends the pending records of a member and reports whether all were sent.
func (e *Entry) handOverTo(ctx context.Context, m lhflow.MemberID) bool {
	for e.engine.Pending(m) > 0 {
		batch := e.engine.TakePending(m, handOverBatchSize)
		e.inFlightRecords.Store(int64(len(batch)))
		err := e.node.Push(ctx, m, batch, false)
		if err != nil {
			e.engine.Requeue(m, batch)
		}
		e.inFlightRecords.Store(0)
		if err != nil {
			return false
		}
	}
	return true
}

// housekeep sends the engine's heartbeat and removes expired records.
func (e *Entry) housekeep(ctx context.Context) error {
	shard := 0
	return every(ctx, housekeepingInterval, func() {
		now := e.now()
		e.engine.Heartbeat(now)
		for range shardsPerTick {
			e.engine.Expire(now, shard)
			shard++
		}
	})
}

// checkReachability updates the set of dead backend servers and reports unreachable
// members to the engine.
func (e *Entry) checkReachability(ctx context.Context) error {
	return every(ctx, checkInterval, func() {
		now := e.now()
		e.detector.update(now, e.serverStatus)
		for _, a := range e.node.Unreachable() {
			if now-a.Since < unreachableTimeout {
				e.engine.MemberUnreachable(now)
			}
		}
	})
}

// followVMList polls the platform's list of VMs. It runs in its own goroutine because
// calls to the platform block.
func (e *Entry) followVMList(ctx context.Context) error {
	e.refreshContacts(ctx)
	return every(ctx, vmListInterval, func() { e.refreshContacts(ctx) })
}

// serverStatus reports whether a backend server is declared and whether its data centre
// is unreachable.
func (e *Entry) serverStatus(server uint32) (declared, unreachable bool) {
	s, ok := e.table.Load().Server(server)
	if !ok {
		return false, false
	}
	unreachableDCs := e.unreachableDCs.Load()
	return true, unreachableDCs != nil && slices.Contains(*unreachableDCs, s.DataCentre())
}

// refreshContacts adds the VMs in the platform's list to the node's contacts. If the
// platform does not respond, the node keeps the contacts that it has.
func (e *Entry) refreshContacts(ctx context.Context) {
	view := e.node.View()
	if view != nil && !lhstore.Watches(view) {
		return
	}
	vms, err := e.store.VMs(ctx)
	if err != nil {
		return
	}
	e.node.AddContacts(controlAddresses(vms))
}

// controlAddresses returns the control addresses of the VMs that are not leaving.
func controlAddresses(vms []lhstore.VM) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(vms))
	for _, vm := range vms {
		if !vm.Leaving && vm.Control.IsValid() {
			list = append(list, vm.Control)
		}
	}
	return list
}
