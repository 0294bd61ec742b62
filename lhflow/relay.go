package lhflow

// holders returns the members that are to hold a flow's record, in the order in
// which a packet passes them: the current owners, then the next ones.
func holders(v *View, id ID) [4]MemberID {
	now := v.Owners(id)
	list := [4]MemberID{now.First, now.Second}
	if v.stable {
		return list
	}
	next := v.NextOwners(id)
	n := 2
	for _, m := range [2]MemberID{next.First, next.Second} {
		if !now.Has(m) {
			list[n] = m
			n++
		}
	}
	return list
}

// nextHolder returns the holder after this VM; 0 if it is the last or not a holder.
func (e *Engine) nextHolder(v *View, id ID) MemberID {
	list := holders(v, id)
	found := false
	for _, m := range list {
		if found && m != 0 {
			return m
		}
		if m == v.Self {
			found = true
		}
	}
	return 0
}

// receiveCopy stores the record that a packet carries from an earlier holder, and
// forwards the packet. A record of the same flow that this VM already has may take
// precedence, so that two owners with different views assign a flow to one server.
func (e *Engine) receiveCopy(ev *Event) Verdict {
	view := e.view.Load()
	if ev.Relay.State == Refused {
		return e.copyRefusal(ev, view)
	}
	s := e.table.shard(ev.ID)
	s.mu.Lock()
	mine, known := s.get(ev.ID)
	if known && takesPrecedence(&mine, ev) {
		s.mu.Unlock()
		reply := relayWithRecord(ev, &mine)
		reply.Kind = RelayReturn
		reply.Origin = ev.Peer
		reply.Hops = ev.Relay.Hops + 1
		return Verdict{Action: ToPeer, Peer: ev.Peer, Relay: reply}
	}
	en := mergeCopy(ev, mine, known)
	e.storeLocked(s, ev.ID, en)
	s.mu.Unlock()
	if known && mine.has(counted) && !en.has(counted) {
		e.reportTransition(ev.Now, Ended, &mine, ev.Key.Caller)
	}
	e.queueSkipped(ev, view)
	if verdict, more := e.forwardCopy(ev, view); more {
		return verdict
	}
	return e.send(ev, &en)
}

// forwardCopy relays a copy to the next holder; it returns false if there is none.
func (e *Engine) forwardCopy(ev *Event, view *View) (Verdict, bool) {
	next := e.nextHolder(view, ev.ID)
	if next == 0 || next == ev.Peer || next == ev.Relay.Origin || ev.Relay.Hops >= maxHops {
		return Verdict{}, false
	}
	relay := ev.Relay
	relay.Hops++
	return Verdict{Action: ToPeer, Peer: next, Relay: relay}, true
}

// queueSkipped queues a record for hand-over to the holders that precede this VM in
// its own view and that the packet has not passed because the sender's view
// differs.
func (e *Engine) queueSkipped(ev *Event, view *View) {
	for _, m := range holders(view, ev.ID) {
		if m == view.Self {
			return
		}
		if m != 0 && m != ev.Peer && m != ev.Relay.Origin {
			e.pending.add(m, ev.ID)
		}
	}
}

func (e *Engine) copyRefusal(ev *Event, view *View) Verdict {
	e.refused.add(ev.Now, ev.ID, ev.Relay.ISN)
	if verdict, more := e.forwardCopy(ev, view); more {
		return verdict
	}
	return Verdict{Action: Refuse, Reason: ReasonRefused}
}

// takesPrecedence reports whether this VM's record of the same flow overrides the
// one that a packet carries.
func takesPrecedence(mine *entry, ev *Event) bool {
	if mine.server == ev.Relay.Server {
		return false
	}
	if mine.isn != ev.Relay.ISN && !mine.has(datagram) {
		return false
	}
	if mine.state > Opening && ev.Relay.State == Opening {
		return true
	}
	return mine.state >= ev.Relay.State && mine.attempt >= ev.Relay.Attempt
}

// mergeCopy returns the record to store for the one that a packet carries.
func mergeCopy(ev *Event, mine entry, known bool) entry {
	now := ticks(ev.Now)
	if known && mine.isn == ev.Relay.ISN && mine.server == ev.Relay.Server {
		mine.state = max(mine.state, ev.Relay.State)
		mine.lastSeen = now
		mine.markCopied(now)
		mine.flags |= owned
		return mine
	}
	en := newReceivedEntry(now, Record{
		ID:     ev.ID,
		Server: ev.Relay.Server,
		ISN:    ev.Relay.ISN,
		State:  ev.Relay.State,
		Work:   ev.Relay.Work,
	})
	en.attempt = ev.Relay.Attempt
	if ev.Key.Proto == UDP {
		en.flags |= datagram
	}
	return en
}

// newReceivedEntry returns the entry of a flow that another member placed.
func newReceivedEntry(now tick, r Record) entry {
	en := entry{
		server:   r.Server,
		isn:      r.ISN,
		lastSeen: now,
		placedAt: now,
		work:     r.Work,
		state:    r.State,
		flags:    owned,
		attempt:  1,
	}
	if r.State >= Open {
		en.flags |= startUnknown
	}
	return en
}

// receiveReturned stores a record that an owner has returned together with the
// packet.
func (e *Engine) receiveReturned(ev *Event) Verdict {
	view := e.view.Load()
	now := ticks(ev.Now)
	s := e.table.shard(ev.ID)
	s.mu.Lock()
	mine, known := s.get(ev.ID)
	en := mergeCopy(ev, mine, known)
	if !view.Owners(ev.ID).Has(view.Self) {
		// The lease starts at the time on this VM's clock when it sent the request,
		// which is before the owner granted the lease.
		en.flags &^= owned
		en.leaseEnd = tick(ev.Relay.Stamp) + ticks(e.limits.Lease)
	}
	serverChanged := known && mine.has(counted) && mine.server != en.server
	if serverChanged {
		en.flags |= counted
	}
	if en.valid(now) && (known || e.Len() < e.limits.Flows) {
		e.storeLocked(s, ev.ID, en)
	}
	s.mu.Unlock()
	if serverChanged {
		e.reportTransition(ev.Now, Ended, &mine, ev.Key.Caller)
		e.reportTransition(ev.Now, Adopted, &en, ev.Key.Caller)
	}
	if owners := view.Owners(ev.ID); owners.First == view.Self {
		return e.decideAsOwner(ev, view, owners)
	}
	if ev.Source == FromServer && ev.Server != en.server {
		return Verdict{Reason: ReasonLateAnswer}
	}
	return e.send(ev, &en)
}

// askOthers queries the other members for a flow of which the first owner has no
// record.
func (e *Engine) askOthers(ev *Event, view *View) Verdict {
	next := nextByRank(view, ev.ID, view.Self, 0)
	if next == 0 {
		return e.handleUnknown(ev, view)
	}
	return Verdict{Action: ToPeer, Peer: next, Relay: newRelay(ev, view, RelayLookup)}
}

// answerLookup replies to the first owner from any record, even one whose lease has
// expired: the owners have lost theirs, so no better record exists.
func (e *Engine) answerLookup(ev *Event) Verdict {
	view := e.view.Load()
	if ev.Relay.Origin == view.Self {
		return e.handleUnknown(ev, view)
	}
	if en, known := e.lookup(ev.ID); known && en.state >= Opening {
		return returnRecord(ev, &en)
	}
	relay := ev.Relay
	relay.Hops++
	next := nextByRank(view, ev.ID, view.Self, ev.Relay.Origin)
	if next == 0 || relay.Hops >= maxHops {
		next = ev.Relay.Origin
	}
	return Verdict{Action: ToPeer, Peer: next, Relay: relay}
}

// lookup returns the VM's record of a flow, whether valid or not.
func (e *Engine) lookup(id ID) (entry, bool) {
	s := e.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(id)
}

// nextByRank returns the member after m in rendezvous order, excluding skip; 0 if
// there is none.
func nextByRank(v *View, id ID, m, skip MemberID) MemberID {
	limit := Rank(id, uint64(m))
	var best MemberID
	var high uint64
	for i := range v.Members {
		c := v.Members[i].ID
		w := Rank(id, uint64(c))
		if c == skip || c == m || w >= limit {
			continue
		}
		if best == 0 || w > high {
			best, high = c, w
		}
	}
	return best
}

// handleUnknown decides on a packet of a flow that no other member knows. A record
// that this VM learned earlier is used if there is one. For some time after the
// loss of a member the flow's record may be at an unreachable member, so the packet
// is dropped for the caller to retransmit; after that the caller gets a reset.
func (e *Engine) handleUnknown(ev *Event, view *View) Verdict {
	if en, known := e.lookup(ev.ID); known && en.state >= Opening {
		return e.adoptRecord(ev, view, en)
	}
	if ev.Key.Proto == UDP && ev.Source == FromCaller {
		return e.place(ev, view, entry{})
	}
	if e.memberLostWithin(ev.Now, e.limits.Grace) {
		return Verdict{Reason: ReasonCutOff}
	}
	if ev.Source == FromServer {
		return Verdict{Reason: ReasonLateAnswer}
	}
	if ev.Flags.Has(RST) {
		return Verdict{Reason: ReasonUnknownFlow}
	}
	return Verdict{Action: Reset, Reason: ReasonUnknownFlow}
}

// adoptRecord turns a learned record into an owned one.
func (e *Engine) adoptRecord(ev *Event, view *View, en entry) Verdict {
	owner := en
	owner.flags |= owned
	e.compareAndSwap(ev.ID, en, owner)
	return e.decideAsOwner(ev, view, view.Owners(ev.ID))
}
