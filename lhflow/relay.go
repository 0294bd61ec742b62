package lhflow

// holders returns the members that are to have a flow's record, in the order in
// which a packet passes them: its owners, then those it will have next.
func holders(v *View, id ID) [4]MemberID {
	now := v.Owners(id)
	list := [4]MemberID{now.First, now.Second}
	if v.steady {
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

// next returns the member after this VM among the holders; 0 at the end.
func (e *Engine) next(v *View, id ID) MemberID {
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

// copy keeps the record that a packet brings from an earlier holder, and sends
// the packet on. A record that this VM already has of the same flow wins over
// another owner's first choice: two owners with different views place a flow at
// one server.
func (e *Engine) copy(ev *Event) Verdict {
	view := e.view.Load()
	if ev.Relay.State == Refused {
		return e.copyRefusal(ev, view)
	}
	s := e.table.shard(ev.ID)
	s.mu.Lock()
	mine, known := s.get(ev.ID)
	if known && outranks(&mine, ev) {
		s.mu.Unlock()
		back := carry(ev, &mine)
		back.Kind = RelayTeach
		back.Origin = ev.Peer
		back.Hops = ev.Relay.Hops + 1
		return Verdict{Action: ToPeer, Peer: ev.Peer, Relay: back}
	}
	en := copied(ev, mine, known)
	e.storeLocked(s, ev.ID, en)
	s.mu.Unlock()
	if known && mine.has(counted) && !en.has(counted) {
		e.tell(ev.Now, Ended, &mine, ev.Key.Caller)
	}
	e.tellSkipped(ev, view)
	if verdict, more := e.onward(ev, view); more {
		return verdict
	}
	return e.send(ev, &en)
}

// onward passes a copy on to the next holder; it is false where there is none.
func (e *Engine) onward(ev *Event, view *View) (Verdict, bool) {
	next := e.next(view, ev.ID)
	if next == 0 || next == ev.Peer || next == ev.Relay.Origin || ev.Relay.Hops >= maxHops {
		return Verdict{}, false
	}
	relay := ev.Relay
	relay.Hops++
	return Verdict{Action: ToPeer, Peer: next, Relay: relay}, true
}

// tellSkipped lists a record for hand-over to the holders that come before this
// VM in its own view and that the packet did not pass: the sender's view differs.
func (e *Engine) tellSkipped(ev *Event, view *View) {
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
	if verdict, more := e.onward(ev, view); more {
		return verdict
	}
	return Verdict{Action: Refuse, Reason: ReasonRefused}
}

// outranks reports whether this VM's record of the same flow stands against the
// one that came with the packet.
func outranks(mine *entry, ev *Event) bool {
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

// copied returns the record to keep of what a packet brings.
func copied(ev *Event, mine entry, known bool) entry {
	now := ticks(ev.Now)
	if known && mine.isn == ev.Relay.ISN && mine.server == ev.Relay.Server {
		mine.state = max(mine.state, ev.Relay.State)
		mine.seen = now
		mine.renew(now)
		mine.marks |= owned
		return mine
	}
	en := received(now, Record{
		ID:     ev.ID,
		Server: ev.Relay.Server,
		ISN:    ev.Relay.ISN,
		State:  ev.Relay.State,
		Work:   ev.Relay.Work,
	})
	en.attempt = ev.Relay.Attempt
	if ev.Key.Proto == UDP {
		en.marks |= datagram
	}
	return en
}

// received returns the record of a flow that another member placed.
func received(now tick, r Record) entry {
	en := entry{
		server:  r.Server,
		isn:     r.ISN,
		seen:    now,
		placed:  now,
		work:    r.Work,
		state:   r.State,
		marks:   owned,
		attempt: 1,
	}
	if r.State >= Open {
		en.marks |= aged
	}
	return en
}

// learn keeps a record that an owner has returned together with the packet.
func (e *Engine) learn(ev *Event) Verdict {
	view := e.view.Load()
	now := ticks(ev.Now)
	s := e.table.shard(ev.ID)
	s.mu.Lock()
	mine, known := s.get(ev.ID)
	en := copied(ev, mine, known)
	if !view.Owners(ev.ID).Has(view.Self) {
		// The lease counts from this VM's own clock when it asked, which is
		// before the owner granted it.
		en.marks &^= owned
		en.lease = tick(ev.Relay.Stamp) + ticks(e.limits.Lease)
	}
	moved := known && mine.has(counted) && mine.server != en.server
	if moved {
		en.marks |= counted
	}
	if en.valid(now) && (known || e.Len() < e.limits.Flows) {
		e.storeLocked(s, ev.ID, en)
	}
	s.mu.Unlock()
	if moved {
		e.tell(ev.Now, Ended, &mine, ev.Key.Caller)
		e.tell(ev.Now, Adopted, &en, ev.Key.Caller)
	}
	if owners := view.Owners(ev.ID); owners.First == view.Self {
		return e.decide(ev, view, owners)
	}
	if ev.Source == FromServer && ev.Server != en.server {
		return Verdict{Reason: ReasonLateAnswer}
	}
	return e.send(ev, &en)
}

// seek asks the other members about a flow of which the first owner has no record.
func (e *Engine) seek(ev *Event, view *View) Verdict {
	next := follower(view, ev.ID, view.Self, 0)
	if next == 0 {
		return e.unknown(ev, view)
	}
	return Verdict{Action: ToPeer, Peer: next, Relay: request(ev, view, RelayFind)}
}

// find answers the first owner from any record, also one whose lease has ended:
// the owners have lost theirs, so it is the best there is.
func (e *Engine) find(ev *Event) Verdict {
	view := e.view.Load()
	if ev.Relay.Origin == view.Self {
		return e.unknown(ev, view)
	}
	if en, known := e.lookup(ev.ID); known && en.state >= Opening {
		return teach(ev, &en)
	}
	relay := ev.Relay
	relay.Hops++
	next := follower(view, ev.ID, view.Self, ev.Relay.Origin)
	if next == 0 || relay.Hops >= maxHops {
		next = ev.Relay.Origin
	}
	return Verdict{Action: ToPeer, Peer: next, Relay: relay}
}

// lookup returns the VM's record of a flow, valid or not.
func (e *Engine) lookup(id ID) (entry, bool) {
	s := e.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(id)
}

// follower returns the member that comes after m in rendezvous order, leaving
// skip out; 0 at the end.
func follower(v *View, id ID, m, skip MemberID) MemberID {
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

// unknown ends a packet of a flow that no other member knows. What this VM has
// learned of the flow earlier is then the best there is. Soon after members were
// lost the flow may live with one that can't be reached, so the caller is left to
// repeat the packet; later it is told by a reset.
func (e *Engine) unknown(ev *Event, view *View) Verdict {
	if en, known := e.lookup(ev.ID); known && en.state >= Opening {
		return e.adopt(ev, view, en)
	}
	if ev.Key.Proto == UDP && ev.Source == FromCaller {
		return e.place(ev, view, entry{})
	}
	if e.lostWithin(ev.Now, e.limits.Grace) {
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

// adopt makes a learned record the owner's own.
func (e *Engine) adopt(ev *Event, view *View, en entry) Verdict {
	owner := en
	owner.marks |= owned
	e.swap(ev.ID, en, owner)
	return e.decide(ev, view, view.Owners(ev.ID))
}
