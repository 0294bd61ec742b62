package lhflow

import (
	"sync"
	"time"
)

// handOverQueue lists the records to be sent to other members.
type handOverQueue struct {
	mu sync.Mutex
	// byMember holds the flows by the member that lacks them; nil until the first.
	byMember map[MemberID][]ID
}

func (p *handOverQueue) add(m MemberID, id ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byMember == nil {
		p.byMember = make(map[MemberID][]ID)
	}
	p.byMember[m] = append(p.byMember[m], id)
}

// SetView applies a view of the membership. Records that members lack under it are
// queued for hand-over, and flows whose first owner is this VM are counted against
// its share of the limits.
func (e *Engine) SetView(now time.Duration, v *View) {
	e.viewMu.Lock()
	defer e.viewMu.Unlock()
	old := e.view.Load()
	if lostMember(old, v) {
		e.memberLost.Store(uint32(ticks(now)) | 1)
	}
	e.viewChanged.Store(uint32(ticks(now)) | 1)
	e.view.Store(v)
	e.dropPending(v)
	for i := range e.table.shards {
		e.updateShard(now, &e.table.shards[i], old, v)
	}
	e.handOverView.Store(v)
}

// HandOverView returns the last view for which all records to hand over are queued.
// While SetView runs it is older than View, and Pending returns too few.
func (e *Engine) HandOverView() *View { return e.handOverView.Load() }

// MemberUnreachable records that a member is still unreachable but may return.
// Packets of unknown flows, which may belong to it, are then dropped for the caller
// to retransmit.
func (e *Engine) MemberUnreachable(now time.Duration) { e.memberLost.Store(uint32(ticks(now)) | 1) }

// lostMember reports whether an active member of the old view is missing from the
// new one without having left.
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

// dropPending clears the queues of members that are not in the view.
func (e *Engine) dropPending(v *View) {
	e.pending.mu.Lock()
	defer e.pending.mu.Unlock()
	for m := range e.pending.byMember {
		if _, ok := v.Member(m); !ok {
			delete(e.pending.byMember, m)
		}
	}
}

func (e *Engine) updateShard(now time.Duration, s *shard, old, v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.each(func(id ID, en *entry) {
		after := holders(v, id)
		e.queueHandOver(now, id, en, holders(old, id), after, v)
		e.updateOwnership(now, en, after, v)
	})
}

// queueHandOver queues a record for the members that lack it. It is sent by the
// first of the previous holders that is still a member or, if there is none, by
// every VM that has learned it. An owner also sends a record that it received
// recently: the sender may already have used the new view and assume that the
// packet passed the new holders. A VM that leaves sends all records that it owns:
// the other owner may be dead without anyone having noticed yet, and nobody has the
// record once both are gone.
func (e *Engine) queueHandOver(now time.Duration, id ID, en *entry, before, after [4]MemberID, v *View) {
	if en.state < Opening || en.state == Closed {
		return
	}
	sender := firstPresent(before, v)
	recent := en.has(owned) && ticks(now).millisSince(en.placedAt) < int32(viewConvergence.Milliseconds())
	leaves := en.has(owned) && v.leaves(v.Self)
	if sender != 0 && sender != v.Self && !recent && !leaves {
		return
	}
	for _, m := range after {
		if m == 0 || m == v.Self || sender != 0 && contains(before, m) {
			continue
		}
		e.pending.add(m, id)
	}
}

// updateOwnership marks the record as owned or learned under the new view, and
// counts its flow if this VM is the first owner.
func (e *Engine) updateOwnership(now time.Duration, en *entry, after [4]MemberID, v *View) {
	owners := Owners{First: after[0], Second: after[1]}
	mine := owners.First == v.Self
	if en.copiedTo != shortID(owners.Second) {
		en.copiedTo = 0
	}
	if mine && !en.has(counted) && en.state >= Opening && en.state < Closed {
		en.flags |= counted
		e.reportTransition(now, Adopted, en, [16]byte{})
	}
	if !mine && en.has(counted) {
		en.flags &^= counted
		e.reportTransition(now, Ended, en, [16]byte{})
	}
	if contains(after, v.Self) {
		if mine || owners.Second == v.Self {
			en.flags |= owned
		}
		return
	}
	if en.has(owned) {
		en.flags &^= owned
		en.leaseEnd = ticks(now + e.limits.Lease)
	}
}

func firstPresent(list [4]MemberID, v *View) MemberID {
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

// Pending returns the number of records queued for a member.
func (e *Engine) Pending(m MemberID) int {
	e.pending.mu.Lock()
	defer e.pending.mu.Unlock()
	return len(e.pending.byMember[m])
}

// TakePending removes up to n records from the queue of member m and returns them in
// their current state. If sending fails, the caller passes them to Requeue.
func (e *Engine) TakePending(m MemberID, n int) []Record {
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
	list := e.pending.byMember[m]
	if n >= len(list) {
		delete(e.pending.byMember, m)
		return list
	}
	e.pending.byMember[m] = list[n:]
	return list[:n:n]
}

// Requeue returns records that could not be sent to the queue of member m.
func (e *Engine) Requeue(m MemberID, batch []Record) {
	for _, r := range batch {
		e.pending.add(m, r.ID)
	}
}

// Receive stores records that another member hands over. Records that this VM owns
// take precedence unless superseded.
func (e *Engine) Receive(now time.Duration, from MemberID, batch []Record) {
	view := e.view.Load()
	for _, r := range batch {
		e.receiveRecord(now, view, r)
		owners := view.Owners(r.ID)
		if owners.First == view.Self && owners.Second != 0 && owners.Second != from {
			// The record arrives late, so the second owner may lack it as well.
			e.pending.add(owners.Second, r.ID)
		}
	}
}

func (e *Engine) receiveRecord(now time.Duration, view *View, r Record) {
	s := e.table.shard(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	mine, known := s.get(r.ID)
	if known && mine.has(owned) && !supersedes(ticks(now), r, &mine) {
		return
	}
	en := newReceivedEntry(ticks(now), r)
	if r.ISN == 0 {
		en.flags |= datagram
	}
	if known && mine.has(counted) {
		e.reportTransition(now, Ended, &mine, [16]byte{})
	}
	e.updateOwnership(now, &en, holders(view, r.ID), view)
	e.storeLocked(s, r.ID, en)
}

// supersedes reports whether a record that another owner hands over replaces this
// VM's own, as after a network partition. For the same flow, the more advanced
// record wins. For two flows from one port, this VM's own wins unless it has been
// idle for longer than viewConvergence.
func supersedes(now tick, r Record, mine *entry) bool {
	if r.ISN == mine.isn {
		return r.Server != mine.server && mine.state == Opening && r.State > Opening
	}
	return now.sub(mine.lastSeen) > viewConvergence
}

// Expire removes the expired records of one shard of the table. Successive calls
// increment part; each scans one sixty-fourth of the table.
func (e *Engine) Expire(now time.Duration, part int) {
	s := &e.table.shards[part%shardCount]
	for _, old := range e.expired(now, s) {
		e.removeFlow(now, old.id(), old.entry)
	}
}

// expired returns the records whose idle timeout has passed or whose server is no
// longer declared.
func (e *Engine) expired(now time.Duration, s *shard) []slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []slot
	s.each(func(id ID, en *entry) {
		idle := int64(ticks(now).millisSince(en.lastSeen))
		if idle > e.recordTTL(now, en).Milliseconds() || !e.placer.Declared(en.server) {
			list = append(list, newSlot(id, *en))
		}
	})
	return list
}

// recordTTL returns how long the record is kept without a packet.
func (e *Engine) recordTTL(now time.Duration, en *entry) time.Duration {
	switch {
	case !en.has(owned):
		return e.limits.Lease + learnedTTL
	case en.has(datagram):
		return e.limits.IdleUDP
	case en.state < Complete && en.has(counted):
		return e.placer.HandshakeTimeout(now, en.server)
	case en.state < Complete:
		return halfOpenTTL
	case en.state == Closing:
		return closingTTL
	case en.state == Closed:
		return closedTTL
	}
	return e.limits.IdleTCP
}
