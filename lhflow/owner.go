package lhflow

import "time"

// decide decides as the first owner of the flow.
func (e *Engine) decide(ev *Event, view *View, owners Owners) Verdict {
	s := e.table.shard(ev.ID)
	s.mu.Lock()
	en, known := s.get(ev.ID)
	if !known || !en.valid(ticks(ev.Now)) {
		s.mu.Unlock()
		return e.decideUnknown(ev, view)
	}
	if ev.Source == FromServer && isLate(ev, &en, ticks(ev.Now)) {
		s.mu.Unlock()
		return Verdict{Reason: ReasonLateAnswer}
	}
	if opens(ev) && !en.has(datagram) {
		s.mu.Unlock()
		return e.reopen(ev, view, en)
	}
	en.marks |= owned
	before := en
	e.advance(ev, &en)
	taught := ev.Relay.Kind == RelayAsk && ev.Flags&(SYN|FIN|RST) == 0 && e.countRelayed(&en, ev)
	renew := needsCopy(ev, &before, &en, owners)
	if renew {
		en.renew(ticks(ev.Now))
	}
	en.seen = ticks(ev.Now)
	s.put(ev.ID, en)
	s.mu.Unlock()
	e.report(ev, &before, &en)
	if renew {
		return e.pass(ev, view, &en)
	}
	if taught {
		return teach(ev, &en)
	}
	return e.send(ev, &en)
}

// opens reports whether the packet is a caller's SYN.
func opens(ev *Event) bool {
	return ev.Source == FromCaller && ev.Flags&(SYN|ACK) == SYN
}

// advance moves the state of a record on by what the packet says.
func (e *Engine) advance(ev *Event, en *entry) {
	switch {
	case ev.Quoted:
		return
	case ev.Source == FromCaller && !ev.Flags.Has(SYN) && en.precedes(ev.Seq, ticks(ev.Now)):
		// A late packet of the port's earlier flow says nothing about this one.
		return
	case ev.Flags.Has(RST):
		en.state = Closed
	case ev.Flags.Has(FIN):
		en.marks |= finMark(ev.Source)
		en.state = max(en.state, Closing)
		if en.has(callerFIN) && en.has(serverFIN) {
			en.state = Closed
		}
	case ev.Source == FromServer:
		en.state = max(en.state, answeredState(ev, en))
	case !ev.Flags.Has(SYN):
		en.state = max(en.state, Complete)
	}
	if ev.Source == FromCaller && ev.Data > 0 && en.lease == 0 {
		en.lease = ticks(ev.Now)
	}
	if ev.Source == FromServer && ev.Data > 0 {
		en.marks |= served
	}
	if en.state == Closed {
		en.marks &^= counted
	}
}

// answeredState returns the state that a packet of the server shows.
func answeredState(ev *Event, en *entry) State {
	if ev.Flags.Has(SYN) || en.state < Complete {
		return Accepted
	}
	return Open
}

// report tells the placer what a packet has changed of a flow that this VM counts.
func (e *Engine) report(ev *Event, before, after *entry) {
	if !before.has(counted) {
		return
	}
	now := ticks(ev.Now)
	r := before.report(ev.Key.Caller)
	switch {
	case before.state == Opening && ev.Source == FromServer && after.state == Closed:
		r.Turn = Rejected
	case !after.has(counted):
		r.Turn = Ended
	case before.state == Opening && after.state == Accepted:
		r.Turn = Answered
		r.After = now.after(before.placed)
	case before.state < Complete && after.state >= Complete && !after.has(datagram):
		r.Turn = Established
	case !before.has(served) && after.has(served):
		r.Turn = Served
		if before.lease != 0 {
			r.After = max(now.after(before.lease), 0)
		}
	default:
		return
	}
	e.placer.Report(ev.Now, r)
}

// report returns a Report of the entry as it stands, without a turn.
func (e *entry) report(caller [16]byte) Report {
	return Report{Server: e.server, Work: e.work, Caller: caller, State: e.state, Done: e.has(served)}
}

// tell reports a turn of a flow apart from any packet.
func (e *Engine) tell(now time.Duration, t Turn, en *entry, caller [16]byte) {
	r := en.report(caller)
	r.Turn = t
	e.placer.Report(now, r)
}

func finMark(s Source) mark {
	if s == FromCaller {
		return callerFIN
	}
	return serverFIN
}

// needsCopy reports whether the packet is to pass the second owner: it opens or
// ends the flow, it completes the handshake, it is the server's first answer, the
// second owner is another one than last time, or its copy is old. So a copy that a
// lost packet should have left is left by the next; and a half-open flow of which
// the caller never completes the handshake is short-lived at both owners.
func needsCopy(ev *Event, before, after *entry, owners Owners) bool {
	if owners.Second == 0 {
		return false
	}
	if after.copied != short(owners.Second) || after.state == Opening {
		return true
	}
	completes := before.state < Complete && after.state >= Complete
	answers := !before.has(served) && after.has(served)
	if ev.Flags&(FIN|RST) != 0 || completes || answers {
		return true
	}
	return after.stale(ticks(ev.Now))
}

// decideUnknown decides over a packet of a flow of which the first owner has no
// valid record. A datagram may belong to a flow whose owners were lost, so soon
// after a loss the other members are asked before it counts as a new flow.
func (e *Engine) decideUnknown(ev *Event, view *View) Verdict {
	if ev.Quoted {
		return Verdict{Reason: ReasonUnknownFlow}
	}
	if opens(ev) {
		return e.place(ev, view, entry{})
	}
	if ev.Source == FromCaller && ev.Key.Proto == UDP && !e.lostWithin(ev.Now, e.limits.IdleUDP) {
		return e.place(ev, view, entry{})
	}
	return e.seek(ev, view)
}

// lostWithin reports whether a member was lost in the time d before now.
func (e *Engine) lostWithin(now, d time.Duration) bool {
	lost := tick(e.lost.Load())
	return lost != 0 && int64(ticks(now).since(lost)) < d.Milliseconds()
}

// reopen decides over a SYN of a flow that has a record: repeated, or of a new
// flow from the same port.
func (e *Engine) reopen(ev *Event, view *View, en entry) Verdict {
	if en.isn == ev.Seq {
		return e.repeat(ev, view, en)
	}
	if e.placer.Accepts(en.server) && e.placer.Holds(en.server, ev.Key) {
		return e.place(ev, view, en)
	}
	if e.leased(ev.Now, &en) {
		return Verdict{Reason: ReasonReuse}
	}
	e.forget(ev.Now, ev.ID, en)
	return e.place(ev, view, entry{})
}

// leased reports whether another VM may still use the record: by a lease that
// this VM granted, or by one that an earlier owner may have granted.
func (e *Engine) leased(now time.Duration, en *entry) bool {
	t := ticks(now)
	if en.lease != 0 && en.lease.since(t) >= 0 {
		return true
	}
	changed := tick(e.changed.Load())
	hold := int32((e.limits.Lease + settle) / time.Millisecond)
	return changed != 0 && t.since(changed) < hold
}

// repeat decides over a repeated SYN. While no server has answered it may go to
// another server, once, within the retry budget; after a longer time the flow is
// refused, for no data of it has gone to any server.
func (e *Engine) repeat(ev *Event, view *View, en entry) Verdict {
	waited := ticks(ev.Now).after(en.placed)
	if en.state != Opening || waited < e.limits.Retry {
		return e.pass(ev, view, &en)
	}
	if waited >= e.limits.Refuse {
		e.forget(ev.Now, ev.ID, en)
		verdict := e.refuse(ev, view, ReasonSilent)
		verdict.Abandon = en.server
		return verdict
	}
	if en.attempt < maxAttempts && e.placer.Retry(ev.Key) {
		return e.retry(ev, view, en)
	}
	marked := en
	marked.marks |= silent
	if _, ok := e.swap(ev.ID, en, marked); ok && !en.has(silent) {
		e.tell(ev.Now, Silent, &en, ev.Key.Caller)
		e.tell(ev.Now, Opened, &en, ev.Key.Caller)
	}
	return e.pass(ev, view, &en)
}

// retry places a flow anew whose server has not answered.
func (e *Engine) retry(ev *Event, view *View, en entry) Verdict {
	p := e.placer.Place(ev.Now, ev.ID, ev.Key, en.server)
	if p.Server == 0 || p.Server == en.server {
		return e.pass(ev, view, &en)
	}
	moved := en
	moved.server = p.Server
	moved.placed = ticks(ev.Now)
	moved.attempt++
	stands, ok := e.swap(ev.ID, en, moved)
	if !ok {
		// The server has answered, or another copy of the SYN was faster.
		return e.passKnown(ev, view, stands)
	}
	e.tell(ev.Now, Silent, &en, ev.Key.Caller)
	e.tell(ev.Now, Opened, &moved, ev.Key.Caller)
	verdict := e.pass(ev, view, &moved)
	verdict.Abandon = en.server
	return verdict
}

// place places a new flow. last is the record of the port's last flow, whose
// server is used again; its zero value leaves the choice to the placer.
func (e *Engine) place(ev *Event, view *View, last entry) Verdict {
	if e.refused.has(ev.Now, ev.ID, ev.Seq) {
		return Verdict{Action: Refuse, Reason: ReasonRefused}
	}
	if e.Len() >= e.limits.Flows {
		return Verdict{Reason: ReasonFull}
	}
	if last.server != 0 {
		e.forget(ev.Now, ev.ID, last)
	}
	p := e.placer.Place(ev.Now, ev.ID, ev.Key, 0)
	if p.Server == 0 {
		return e.refuse(ev, view, p.Reason)
	}
	if last.server != 0 {
		p.Server = last.server
	}
	en, claimed := e.claim(ev, newEntry(ev, p))
	if claimed {
		e.tell(ev.Now, Opened, &en, ev.Key.Caller)
	}
	return e.pass(ev, view, &en)
}

// claim stores the record of a new flow, unless another copy of the packet that
// opens it was faster, and returns the one that stands.
func (e *Engine) claim(ev *Event, en entry) (entry, bool) {
	s := e.table.shard(ev.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.get(ev.ID); known && old.isn == en.isn && old.valid(ticks(ev.Now)) {
		return old, false
	}
	e.storeLocked(s, ev.ID, en)
	return en, true
}

// swap replaces a record, unless it has changed meanwhile, and returns the one that
// stands.
func (e *Engine) swap(id ID, old, en entry) (entry, bool) {
	s := e.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, known := s.get(id)
	if !known || now != old {
		return now, false
	}
	e.storeLocked(s, id, en)
	return en, true
}

// newEntry returns the first owner's record of a new flow.
func newEntry(ev *Event, p Placement) entry {
	now := ticks(ev.Now)
	en := entry{
		server:  p.Server,
		isn:     ev.Seq,
		seen:    now,
		placed:  now,
		work:    p.Work,
		state:   Opening,
		marks:   owned | counted,
		attempt: 1,
	}
	if ev.Key.Proto == UDP {
		// A datagram needs no handshake.
		en.state = Complete
		en.isn = 0
		en.marks |= datagram
	}
	return en
}

// refuse refuses a new flow at both owners.
func (e *Engine) refuse(ev *Event, view *View, r Reason) Verdict {
	switch r {
	case ReasonNoConfig:
		return Verdict{Reason: r}
	case ReasonNoService:
		// Not remembered: the service may be declared the next moment.
		return Verdict{Action: Refuse, Reason: r}
	}
	e.refused.add(ev.Now, ev.ID, ev.Seq)
	next := e.next(view, ev.ID)
	if next == 0 {
		return Verdict{Action: Refuse, Reason: r}
	}
	relay := request(ev, view, RelayCopy)
	relay.State = Refused
	relay.ISN = ev.Seq
	return Verdict{Action: ToPeer, Peer: next, Relay: relay, Reason: r}
}

// passKnown is pass for a record that may have been removed meanwhile.
func (e *Engine) passKnown(ev *Event, view *View, en entry) Verdict {
	if en.server == 0 {
		return Verdict{Reason: ReasonReuse}
	}
	return e.pass(ev, view, &en)
}

// pass sends a packet by way of the members that are to have a copy of its record.
func (e *Engine) pass(ev *Event, view *View, en *entry) Verdict {
	next := e.next(view, ev.ID)
	if next == 0 {
		return e.send(ev, en)
	}
	e.setCopied(ev.ID, short(next))
	relay := carry(ev, en)
	relay.Kind = RelayCopy
	relay.Origin = view.Self
	relay.Hops = 1
	return Verdict{Action: ToPeer, Peer: next, Relay: relay}
}

func (e *Engine) setCopied(id ID, copied uint16) {
	s := e.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if en := s.find(id); en != nil {
		en.copied = copied
	}
}

// storeLocked puts a record into the table; the shard's lock is held.
func (e *Engine) storeLocked(s *shard, id ID, en entry) {
	if s.put(id, en) {
		e.size.Add(1)
	}
}

// forget removes the record of a flow, unless another flow has its place by now, and
// counts the flow no more.
func (e *Engine) forget(now time.Duration, id ID, en entry) {
	s := e.table.shard(id)
	s.mu.Lock()
	old, known := s.get(id)
	if !known || old.isn != en.isn || old.server != en.server {
		s.mu.Unlock()
		return
	}
	s.remove(id)
	e.size.Add(-1)
	s.mu.Unlock()
	if old.has(counted) {
		e.tell(now, Ended, &old, [16]byte{})
	}
}
