package lhflow

import (
	"sync"
	"time"
)

// pending lists the records that other members are still to be sent.
type pending struct {
	mu sync.Mutex
	// flows holds the flows by the member that lacks them; nil until the first.
	flows map[MemberID][]ID
}

func (p *pending) add(m MemberID, id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.flows == nil {
		p.flows = make(map[MemberID][]ID)
	}
	p.flows[m] = append(p.flows[m], id)
}

// SetView puts a view of the membership in force. Records that members lack under
// it are listed for hand-over, and flows that this VM owns first are counted
// against its part of the limits.
func (e *Engine) SetView(now time.Duration, v *View) {
	e.sweep.Lock()
	defer e.sweep.Unlock()
	old := e.view.Load()
	if lostMember(old, v) {
		e.lost.Store(uint32(ticks(now)) | 1)
	}
	e.changed.Store(uint32(ticks(now)) | 1)
	e.view.Store(v)
	e.dropPending(v)
	for i := range e.table.shards {
		e.sweepShard(now, &e.table.shards[i], old, v)
	}
	e.listed.Store(v)
}

// Listed returns the last view under which all records to hand over are listed. It
// is older than View while SetView runs: Pending then says too little.
func (e *Engine) Listed() *View { return e.listed.Load() }

// Missing says that a member can still not be reached, but may come back. Packets
// of flows that may live there are left to be repeated.
func (e *Engine) Missing(now time.Duration) { e.lost.Store(uint32(ticks(now)) | 1) }

// lostMember reports whether an owner of the old view is missing from the new
// one without having left.
func lostMember(old, v *View) bool {
	for _, m := range old.Members {
		if m.State != Active || m.ID == v.Self {
			continue
		}
		if _, ok := v.Member(m.ID); !ok {
			return true
		}
	}
	return false
}

// dropPending forgets hand-over to members that are in the view no more.
func (e *Engine) dropPending(v *View) {
	e.pending.mu.Lock()
	defer e.pending.mu.Unlock()
	for m := range e.pending.flows {
		if _, ok := v.Member(m); !ok {
			delete(e.pending.flows, m)
		}
	}
}

func (e *Engine) sweepShard(now time.Duration, s *shard, old, v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.each(func(id ID, en *entry) {
		after := holders(v, id)
		e.list(now, id, en, holders(old, id), after, v)
		e.account(now, en, after, v)
	})
}

// list lists a record for the members that lack it. The first member of the old
// holders that is still there sends it; where none is, all that have learned it
// do. An owner also sends a record that it got shortly before: the sender may have
// had the new view by then, and thinks that the packet passed the new holders.
func (e *Engine) list(now time.Duration, id ID, en *entry, before, after [4]MemberID, v *View) {
	if en.state < Opening || en.state == Closed {
		return
	}
	sender := firstLeft(before, v)
	recent := en.has(owned) && ticks(now).since(en.placed) < int32(settle.Milliseconds())
	if sender != 0 && sender != v.Self && !recent {
		return
	}
	for _, m := range after {
		if m == 0 || m == v.Self || sender != 0 && contains(before, m) {
			continue
		}
		e.pending.add(m, id)
	}
}

// account marks the record as owned or learned under the new view, and counts
// its flow if this VM is the first owner.
func (e *Engine) account(now time.Duration, en *entry, after [4]MemberID, v *View) {
	owners := Owners{First: after[0], Second: after[1]}
	mine := owners.First == v.Self
	if en.copied != short(owners.Second) {
		en.copied = 0
	}
	if mine && !en.has(counted) && en.state >= Opening && en.state < Closed {
		en.marks |= counted
		e.tell(now, Adopted, en, [16]byte{})
	}
	if !mine && en.has(counted) {
		en.marks &^= counted
		e.tell(now, Ended, en, [16]byte{})
	}
	if contains(after, v.Self) {
		if mine || owners.Second == v.Self {
			en.marks |= owned
		}
		return
	}
	if en.has(owned) {
		en.marks &^= owned
		en.lease = ticks(now + e.limits.Lease)
	}
}

func firstLeft(list [4]MemberID, v *View) MemberID {
	for _, m := range list {
		if m == 0 {
			continue
		}
		if _, ok := v.Member(m); ok {
			return m
		}
	}
	return 0
}

func contains(list [4]MemberID, m MemberID) bool {
	for _, x := range list {
		if x == m {
			return true
		}
	}
	return false
}

// Pending returns how many records are still to be sent to a member.
func (e *Engine) Pending(m MemberID) int {
	e.pending.mu.Lock()
	defer e.pending.mu.Unlock()
	return len(e.pending.flows[m])
}

// Take removes up to n records from those to be sent to member m and returns
// them as they are now. A caller that fails to send them gives them to Return.
func (e *Engine) Take(m MemberID, n int) []Record {
	ids := e.takeIDs(m, n)
	batch := make([]Record, 0, len(ids))
	for _, id := range ids {
		s := e.table.shard(id)
		s.mu.Lock()
		en, ok := s.get(id)
		s.mu.Unlock()
		if ok && en.state < Closed {
			batch = append(batch, en.record(id))
		}
	}
	return batch
}

func (e *Engine) takeIDs(m MemberID, n int) []ID {
	e.pending.mu.Lock()
	defer e.pending.mu.Unlock()
	list := e.pending.flows[m]
	if n >= len(list) {
		delete(e.pending.flows, m)
		return list
	}
	e.pending.flows[m] = list[n:]
	return list[:n:n]
}

// Return lists records again that could not be sent to member m.
func (e *Engine) Return(m MemberID, batch []Record) {
	for _, r := range batch {
		e.pending.add(m, r.ID)
	}
}

// Receive keeps records that another member hands over. What this VM knows of a
// flow already stands.
func (e *Engine) Receive(now time.Duration, from MemberID, batch []Record) {
	view := e.view.Load()
	for _, r := range batch {
		e.receive(now, view, r)
		owners := view.Owners(r.ID)
		if owners.First == view.Self && owners.Second != 0 && owners.Second != from {
			// The record comes late: the second owner may lack it as well.
			e.pending.add(owners.Second, r.ID)
		}
	}
}

func (e *Engine) receive(now time.Duration, view *View, r Record) {
	s := e.table.shard(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	mine, known := s.get(r.ID)
	if known && mine.has(owned) && !supersedes(ticks(now), r, &mine) {
		return
	}
	en := received(ticks(now), r)
	if r.ISN == 0 {
		en.marks |= datagram
	}
	if known && mine.has(counted) {
		e.tell(now, Ended, &mine, [16]byte{})
	}
	e.account(now, &en, holders(view, r.ID), view)
	e.storeLocked(s, r.ID, en)
}

// supersedes reports whether a record that another owner hands over goes before
// this VM's own, as after a cut. Of the same flow the one goes that has come
// further; of two flows from one port this VM's own, unless it has long been idle.
func supersedes(now tick, r Record, mine *entry) bool {
	if r.ISN == mine.isn {
		return r.Server != mine.server && mine.state == Opening && r.State > Opening
	}
	return now.after(mine.seen) > settle
}

// Expire removes the records of one part of the table whose time is over; part
// counts through the calls, each of which looks at one sixty-fourth.
func (e *Engine) Expire(now time.Duration, part int) {
	s := &e.table.shards[part%shardCount]
	for _, old := range e.overdue(now, s) {
		e.forget(now, old.id(), old.entry)
	}
}

// overdue returns the records whose time is over or whose server is gone.
func (e *Engine) overdue(now time.Duration, s *shard) []slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []slot
	s.each(func(id ID, en *entry) {
		idle := int64(ticks(now).since(en.seen))
		if idle > e.life(now, en).Milliseconds() || !e.placer.Declared(en.server) {
			list = append(list, newSlot(id, *en))
		}
	})
	return list
}

// life returns how long the record is kept without a packet.
func (e *Engine) life(now time.Duration, en *entry) time.Duration {
	switch {
	case !en.has(owned):
		return e.limits.Lease + learnedLife
	case en.has(datagram):
		return e.limits.IdleUDP
	case en.state < Complete && en.has(counted):
		return e.placer.Patience(now, en.server)
	case en.state < Complete:
		return halfOpenLife
	case en.state == Closing:
		return closingLife
	case en.state == Closed:
		return closedLife
	}
	return e.limits.IdleTCP
}
