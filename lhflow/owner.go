package lhflow

import "time"

// decideAsOwner decides on a packet as the first owner of its flow.
func (e *Engine) decideAsOwner(ev *Event, view *View, owners Owners) Verdict {
	s := e.table.shard(ev.ID)
	s.mu.Lock()
	en, known := s.get(ev.ID)
	if !known || !en.valid(ticks(ev.Now)) {
		s.mu.Unlock()
		return e.decideUnknown(ev, view)
	}
	if ev.Source == FromServer && isLateAnswer(ev, &en, ticks(ev.Now)) {
		s.mu.Unlock()
		return Verdict{Reason: ReasonLateAnswer}
	}
	if isOpeningSYN(ev) && !en.has(datagram) {
		s.mu.Unlock()
		return e.handleSYN(ev, view, en)
	}
	en.flags |= owned
	before := en
	e.advanceState(ev, &en)
	leaseGranted := ev.Relay.Kind == RelayRequest && ev.Flags&(SYN|FIN|RST) == 0 && e.countRelayed(&en, ev)
	copyNeeded := needsCopy(ev, &before, &en, owners)
	if copyNeeded {
		en.markCopied(ticks(ev.Now))
	}
	en.lastSeen = ticks(ev.Now)
	s.put(ev.ID, en)
	s.mu.Unlock()
	e.report(ev, &before, &en)
	if copyNeeded {
		return e.sendViaHolders(ev, view, &en)
	}
	if leaseGranted {
		return returnRecord(ev, &en)
	}
	return e.send(ev, &en)
}

// isOpeningSYN reports whether the packet is a caller's SYN.
func isOpeningSYN(ev *Event) bool {
	return ev.Source == FromCaller && ev.Flags&(SYN|ACK) == SYN
}

// advanceState updates the state of a record from a packet.
func (e *Engine) advanceState(ev *Event, en *entry) {
	switch {
	case ev.ICMPError:
		return
	case ev.Source == FromCaller && !ev.Flags.Has(SYN) && en.isEarlierSeq(ev.Seq, ticks(ev.Now)):
		// A late packet of an earlier flow from the same port does not affect this one.
		return
	case ev.Flags.Has(RST):
		en.state = Closed
	case ev.Flags.Has(FIN):
		en.flags |= finFlag(ev.Source)
		en.state = max(en.state, Closing)
		if en.has(callerFIN) && en.has(serverFIN) {
			en.state = Closed
		}
	case ev.Source == FromServer:
		en.state = max(en.state, answeredState(ev, en))
	case !ev.Flags.Has(SYN):
		en.state = max(en.state, Complete)
	}
	if ev.Source == FromCaller && ev.Data > 0 && en.leaseEnd == 0 {
		en.leaseEnd = ticks(ev.Now)
	}
	if ev.Source == FromServer && ev.Data > 0 {
		en.flags |= responded
	}
	if en.state == Closed {
		en.flags &^= counted
	}
}

// answeredState returns the state that a packet from the server implies.
func answeredState(ev *Event, en *entry) State {
	if ev.Flags.Has(SYN) || en.state < Complete {
		return Accepted
	}
	return Open
}

func finFlag(s Source) entryFlag {
	if s == FromCaller {
		return callerFIN
	}
	return serverFIN
}

// needsCopy reports whether the packet is to be forwarded through the second owner
// to replicate the record. This is the case if the packet opens or ends the flow,
// completes the handshake or is the server's first response, if the second owner
// has changed since the last copy, or if that copy is old. If such a packet is
// lost, the next one replicates the record instead; and both owners expire a
// half-open flow soon if the caller never completes its handshake.
func needsCopy(ev *Event, before, after *entry, owners Owners) bool {
	if owners.Second == 0 {
		return false
	}
	if after.copiedTo != shortID(owners.Second) || after.state == Opening {
		return true
	}
	completes := before.state < Complete && after.state >= Complete
	answers := !before.has(responded) && after.has(responded)
	if ev.Flags&(FIN|RST) != 0 || completes || answers {
		return true
	}
	return after.copyStale(ticks(ev.Now))
}

// decideUnknown decides on a packet of a flow for which the first owner has no
// valid record. A datagram may belong to a flow whose owners were both lost, so for
// some time after a loss the other members are queried before it is treated as a
// new flow.
func (e *Engine) decideUnknown(ev *Event, view *View) Verdict {
	if ev.ICMPError {
		return Verdict{Reason: ReasonUnknownFlow}
	}
	if isOpeningSYN(ev) {
		return e.place(ev, view, entry{})
	}
	if ev.Source == FromCaller && ev.Key.Proto == UDP && !e.memberLostWithin(ev.Now, e.limits.IdleUDP) {
		return e.place(ev, view, entry{})
	}
	return e.askOthers(ev, view)
}

// memberLostWithin reports whether a member was lost within d before now.
func (e *Engine) memberLostWithin(now, d time.Duration) bool {
	return within(now, tick(e.memberLost.Load()), d)
}

// within reports whether an event at tick at, 0 for never, lies within d before
// now.
func within(now time.Duration, at tick, d time.Duration) bool {
	return at != 0 && ticks(now).sub(at) < d
}

// sendViaHolders forwards a packet through the members that are to hold a copy of
// its record.
func (e *Engine) sendViaHolders(ev *Event, view *View, en *entry) Verdict {
	next := e.nextHolder(view, ev.ID)
	if next == 0 {
		return e.send(ev, en)
	}
	e.setCopiedTo(ev.ID, shortID(next))
	relay := relayWithRecord(ev, en)
	relay.Kind = RelayCopy
	relay.Origin = view.Self
	relay.Hops = 1
	return Verdict{Action: ToPeer, Peer: next, Relay: relay}
}
