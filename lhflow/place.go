package lhflow

import "time"

// place selects the server of a new flow. last is the record of the previous flow
// from the same port, whose server is reused; if last is zero, the placer selects
// the server.
func (e *Engine) place(ev *Event, view *View, last entry) Verdict {
	if e.refused.has(ev.Now, ev.ID, ev.Seq) {
		return Verdict{Action: Refuse, Reason: ReasonRefused}
	}
	if e.Len() >= e.limits.Flows {
		return Verdict{Reason: ReasonFull}
	}
	if last.server != 0 {
		e.removeFlow(ev.Now, ev.ID, last)
	}
	p := e.placer.Place(ev.Now, ev.ID, ev.Key, 0)
	if p.Server == 0 {
		return e.refuse(ev, view, p.Reason)
	}
	if last.server != 0 {
		p.Server = last.server
	}
	en, inserted := e.insertOrGet(ev, newEntry(ev, p))
	if inserted {
		e.reportTransition(ev.Now, Opened, &en, ev.Key.Caller)
	}
	return e.sendViaHolders(ev, view, &en)
}

// insertOrGet stores the record of a new flow and returns it. If a concurrent copy
// of the opening packet has already stored one, that record is returned instead.
func (e *Engine) insertOrGet(ev *Event, en entry) (entry, bool) {
	s := e.table.shard(ev.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, known := s.get(ev.ID); known && old.isn == en.isn && old.valid(ticks(ev.Now)) {
		return old, false
	}
	e.storeLocked(s, ev.ID, en)
	return en, true
}

// newEntry returns the first owner's record of a new flow.
func newEntry(ev *Event, p Placement) entry {
	now := ticks(ev.Now)
	en := entry{
		server:   p.Server,
		isn:      ev.Seq,
		lastSeen: now,
		placedAt: now,
		work:     p.Work,
		state:    Opening,
		flags:    owned | counted,
		attempt:  1,
	}
	if ev.Key.Proto == UDP {
		// A datagram needs no handshake.
		en.state = Complete
		en.isn = 0
		en.flags |= datagram
	}
	return en
}

// refuse refuses a new flow at both owners.
func (e *Engine) refuse(ev *Event, view *View, r Reason) Verdict {
	switch r {
	case ReasonNoConfig:
		return Verdict{Reason: r}
	case ReasonNoService:
		// Not remembered, because the service may be declared at any time.
		return Verdict{Action: Refuse, Reason: r}
	}
	e.refused.add(ev.Now, ev.ID, ev.Seq)
	next := e.nextHolder(view, ev.ID)
	if next == 0 {
		return Verdict{Action: Refuse, Reason: r}
	}
	relay := newRelay(ev, view, RelayCopy)
	relay.State = Refused
	relay.ISN = ev.Seq
	return Verdict{Action: ToPeer, Peer: next, Relay: relay, Reason: r}
}

// handleSYN decides on a SYN of a flow that has a record: a retransmission, or the
// SYN of a new flow from the same port.
func (e *Engine) handleSYN(ev *Event, view *View, en entry) Verdict {
	if en.isn == ev.Seq {
		return e.handleRepeatedSYN(ev, view, en)
	}
	if e.placer.Accepts(en.server) && e.placer.Serves(en.server, ev.Key) {
		return e.place(ev, view, en)
	}
	if e.leaseMayBeHeld(ev.Now, &en) {
		return Verdict{Reason: ReasonReuse}
	}
	e.removeFlow(ev.Now, ev.ID, en)
	return e.place(ev, view, entry{})
}

// leaseMayBeHeld reports whether another VM may still use the record, under a lease
// that this VM or an earlier owner granted.
func (e *Engine) leaseMayBeHeld(now time.Duration, en *entry) bool {
	t := ticks(now)
	if en.leaseEnd != 0 && en.leaseEnd.millisSince(t) >= 0 {
		return true
	}
	return within(now, tick(e.viewChanged.Load()), e.limits.Lease+viewConvergence)
}

// handleRepeatedSYN decides on a retransmitted SYN. While the server has not
// answered, the SYN may go to another server once, within the retry budget. After a
// longer time the flow is refused, which is safe because no server has received
// data of it.
func (e *Engine) handleRepeatedSYN(ev *Event, view *View, en entry) Verdict {
	waited := ticks(ev.Now).sub(en.placedAt)
	if en.state != Opening || waited < e.limits.RetryAfter {
		return e.sendViaHolders(ev, view, &en)
	}
	if waited >= e.limits.RefuseAfter {
		e.removeFlow(ev.Now, ev.ID, en)
		verdict := e.refuse(ev, view, ReasonSilent)
		verdict.AbandonedServer = en.server
		return verdict
	}
	if en.attempt < maxAttempts && e.placer.Retry(ev.Key) {
		return e.retryOnOtherServer(ev, view, en)
	}
	if !en.has(unanswered) {
		e.reportUnanswered(ev, en)
	}
	return e.sendViaHolders(ev, view, &en)
}

// reportUnanswered reports, once per flow, that the server has not answered the
// SYN. The flow stays assigned to that server.
func (e *Engine) reportUnanswered(ev *Event, en entry) {
	reported := en
	reported.flags |= unanswered
	if _, ok := e.compareAndSwap(ev.ID, en, reported); ok {
		e.reportTransition(ev.Now, Unanswered, &en, ev.Key.Caller)
		e.reportTransition(ev.Now, Opened, &en, ev.Key.Caller)
	}
}

// retryOnOtherServer assigns a flow whose server has not answered to another
// server.
func (e *Engine) retryOnOtherServer(ev *Event, view *View, en entry) Verdict {
	p := e.placer.Place(ev.Now, ev.ID, ev.Key, en.server)
	if p.Server == 0 || p.Server == en.server {
		return e.sendViaHolders(ev, view, &en)
	}
	moved := en
	moved.server = p.Server
	moved.placedAt = ticks(ev.Now)
	moved.attempt++
	current, ok := e.compareAndSwap(ev.ID, en, moved)
	if !ok && current.server == 0 {
		return Verdict{Reason: ReasonReuse}
	}
	if !ok {
		// The server has answered, or a concurrent copy of the SYN was handled first.
		return e.sendViaHolders(ev, view, &current)
	}
	e.reportTransition(ev.Now, Unanswered, &en, ev.Key.Caller)
	e.reportTransition(ev.Now, Opened, &moved, ev.Key.Caller)
	verdict := e.sendViaHolders(ev, view, &moved)
	verdict.AbandonedServer = en.server
	return verdict
}
