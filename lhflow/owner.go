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
	return within(now, tick(e.lost.Load()), d)
}

// within reports whether something happened at a tick, 0 for never, and in the time
// d before now.
func within(now time.Duration, at tick, d time.Duration) bool {
	return at != 0 && ticks(now).after(at) < d
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
