package lhflow

import "time"

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
	return within(now, tick(e.changed.Load()), e.limits.Lease+settle)
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
	if !en.has(silent) {
		e.reportSilent(ev, en)
	}
	return e.pass(ev, view, &en)
}

// reportSilent reports, once for a flow, that its server has not answered; the flow
// stays there.
func (e *Engine) reportSilent(ev *Event, en entry) {
	marked := en
	marked.marks |= silent
	if _, ok := e.swap(ev.ID, en, marked); ok {
		e.tell(ev.Now, Silent, &en, ev.Key.Caller)
		e.tell(ev.Now, Opened, &en, ev.Key.Caller)
	}
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
	if !ok && stands.server == 0 {
		return Verdict{Reason: ReasonReuse}
	}
	if !ok {
		// The server has answered, or another copy of the SYN was faster.
		return e.pass(ev, view, &stands)
	}
	e.tell(ev.Now, Silent, &en, ev.Key.Caller)
	e.tell(ev.Now, Opened, &moved, ev.Key.Caller)
	verdict := e.pass(ev, view, &moved)
	verdict.Abandon = en.server
	return verdict
}
