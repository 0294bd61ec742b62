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
	// tick is the time between two rounds of housekeeping and hand-over.
	tick = 100 * time.Millisecond
	// expireParts is how many parts of the flow table are looked through in each tick.
	expireParts = 8
	// batchSize is how many records are taken for hand-over at a time.
	batchSize = 256
	// missingLimit is how long a member that can't be reached is waited for before
	// packets of unknown flows are reset again.
	missingLimit = 5 * time.Minute
	// contactLife is how long a member that has left the view is still known.
	contactLife = 10 * time.Minute
	// lookInterval is the time between two looks at servers and members.
	lookInterval = time.Second
	// listInterval is the time between two looks at the platform's list of VMs.
	listInterval = 10 * time.Second
)

// contacts are the members that this VM has lately had in its view, so that packets
// of one that has just left are still known.
type contacts struct {
	// all is never changed after it has been stored.
	all atomic.Pointer[map[lhflow.MemberID]contact]
}

// contact is a member and when it was last in the view.
type contact struct {
	lhflow.Member
	seen time.Duration
}

func (c *contacts) add(now time.Duration, v *lhflow.View) {
	next := make(map[lhflow.MemberID]contact, len(v.Members))
	if old := c.all.Load(); old != nil {
		for id, m := range *old {
			if now-m.seen < contactLife {
				next[id] = m
			}
		}
	}
	for _, m := range v.Members {
		next[m.ID] = contact{Member: m, seen: now}
	}
	c.all.Store(&next)
}

func (c *contacts) member(id lhflow.MemberID) (lhflow.Member, bool) {
	all := c.all.Load()
	if all == nil {
		return lhflow.Member{}, false
	}
	m, ok := (*all)[id]
	return m.Member, ok
}

// setView puts a new view in force.
func (e *Entry) setView(v *lhflow.View) {
	now := e.now()
	e.members.add(now, v)
	var lost []lhflow.MemberID
	var cut []string
	for _, a := range e.node.Unreachable() {
		lost = append(lost, a.Member.ID)
		if !present(v, a.DataCentre) {
			cut = append(cut, a.DataCentre)
		}
	}
	e.cut.Store(&cut)
	e.work.SetUnreachable(cut)
	e.work.SetView(now, v, lost)
	e.engine.SetView(now, v)
}

// present reports whether any member of a data centre is in the view.
func present(v *lhflow.View, dataCentre string) bool {
	for _, m := range v.Members {
		if m.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// watching reports whether this VM watches the store for its data centre.
func (e *Entry) watching() bool {
	view := e.node.View()
	return view == nil || lhstore.Watches(view)
}

// records takes in what other members hand over.
type records struct{ entry *Entry }

// Receive implements lhpeer.Records.
func (r records) Receive(from lhflow.MemberID, batch []lhflow.Record) {
	r.entry.engine.Receive(r.entry.now(), from, batch)
}

// configs shows the configuration in force to peers.
type configs struct{ *lhstore.Runner }

// Revision implements lhpeer.Configs.
func (c configs) Revision() lhpeer.Revision {
	at := c.Position()
	return lhpeer.Revision{Number: at.Revision, Digest: at.Digest}
}

// handOver sends records to the members that lack them, and tells a joining
// member once it has all that this VM owes it.
func (e *Entry) handOver(ctx context.Context) error {
	return every(ctx, tick, func() {
		view := e.engine.HandoverView()
		owed := e.node.PendingHandOvers()
		for _, m := range view.Members {
			if m.ID == view.Self || !e.handOverTo(ctx, m.ID) || !slices.Contains(owed, m.ID) {
				continue
			}
			// A member that does not know this VM yet refuses the mark and stays owed.
			_ = e.node.Push(ctx, m.ID, nil, true)
		}
	})
}

// handOverTo sends what is pending for a member and reports whether nothing is left.
func (e *Entry) handOverTo(ctx context.Context, m lhflow.MemberID) bool {
	for e.engine.Pending(m) > 0 {
		batch := e.engine.TakePending(m, batchSize)
		e.underWay.Store(int64(len(batch)))
		err := e.node.Push(ctx, m, batch, false)
		if err != nil {
			e.engine.Requeue(m, batch)
		}
		e.underWay.Store(0)
		if err != nil {
			return false
		}
	}
	return true
}

// housekeep says that the VM is running and removes records whose time is over.
func (e *Entry) housekeep(ctx context.Context) error {
	part := 0
	return every(ctx, tick, func() {
		now := e.now()
		e.engine.Heartbeat(now)
		for range expireParts {
			e.engine.Expire(now, part)
			part++
		}
	})
}

// lookAround looks for dead backend servers and for members that can't be reached.
func (e *Entry) lookAround(ctx context.Context) error {
	return every(ctx, lookInterval, func() {
		now := e.now()
		e.silence.refresh(now, e.standing)
		for _, a := range e.node.Unreachable() {
			if now-a.Since < missingLimit {
				e.engine.MemberUnreachable(now)
			}
		}
	})
}

// followList follows the platform's list of VMs. It waits for the platform, so it
// has a goroutine of its own.
func (e *Entry) followList(ctx context.Context) error {
	e.readList(ctx)
	return every(ctx, listInterval, func() { e.readList(ctx) })
}

// standing reports whether a backend server is declared, and whether it stands in
// a data centre that can't be reached.
func (e *Entry) standing(server uint32) (declared, cut bool) {
	s, ok := e.table.Load().Server(server)
	if !ok {
		return false, false
	}
	list := e.cut.Load()
	return true, list != nil && slices.Contains(*list, s.DataCentre())
}

// readList takes contacts from the platform's list of VMs. While the platform
// does not answer the contacts known already have to do.
func (e *Entry) readList(ctx context.Context) {
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

// controlAddresses returns where the VMs of a list serve their peers.
func controlAddresses(vms []lhstore.VM) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(vms))
	for _, vm := range vms {
		if !vm.Leaving && vm.Control.IsValid() {
			list = append(list, vm.Control)
		}
	}
	return list
}
