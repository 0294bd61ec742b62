package lhmark

import "github.com/laburnumhollow/laburnumhollow/lhflow"

// handleNonSYN decides on a packet that is not a SYN. The shard's lock must be held.
func (e *Engine) handleNonSYN(ev *lhflow.Event, t *Table, s *shard, r *record) Decision {
	if r != nil && !r.covers(ev) {
		// The port has been used again, and the record's flow has ended through another VM.
		e.removeFlow(ev.Now, s, ev.Key, r)
		r = nil
	}
	known := r != nil
	if r == nil {
		r = &record{state: open, server: ev.Mark, marked: ev.Mark != 0, nextSeq: ev.Seq, requestAck: ev.Ack}
	}
	if !r.marked && ev.Mark != 0 {
		// The mark is that of the server whose answer the caller acknowledges.
		e.assignServer(r, ev.Mark)
	}
	server, ok := t.Server(r.server)
	switch {
	case !ok && r.server == 0:
		return drop(lhflow.ReasonUnknownFlow)
	case !ok:
		return drop(lhflow.ReasonServerGone)
	}
	d := e.decideOpen(ev, t, server, r, known)
	if d.Reason == lhflow.ReasonRefused {
		r.lastSeen = ev.Now
		return d
	}
	if !known && d.Action == lhflow.ToServer && !ev.Flags.Has(lhflow.RST) && e.Len() < e.limits.Flows {
		s.put(ev.Key, r)
		e.size.Add(1)
		e.statsOf(server).adjust(1, 0)
		e.recordPacket(ev, r, &d)
	}
	if known {
		e.recordPacket(ev, r, &d)
		if ev.Flags.Has(lhflow.RST) || d.Action == lhflow.Reset {
			e.removeFlow(ev.Now, s, ev.Key, r)
		}
	}
	return d
}

// decideOpen decides on a packet of a flow that is open at a server. Requests are told apart only
// if the flow was known before.
func (e *Engine) decideOpen(ev *lhflow.Event, t *Table, server *Server, r *record, known bool) Decision {
	d := toServer(server)
	d.Known = known
	d.Route, _ = t.Route(ev.Key)
	switch {
	case t.Ended(server.Number) && !ev.Flags.Has(lhflow.RST):
		// No server will answer, and the outcome of a request in progress is unknown.
		d.Verdict = lhflow.Verdict{Action: lhflow.Reset, Reason: lhflow.ReasonServerGone}
	case !known:
	case r.startsRequest(ev) && !e.admitRequest(ev, t, d.Route, server, r):
		d.Verdict = lhflow.Verdict{Reason: lhflow.ReasonRefused}
	case r.isRetransmission(ev):
		e.handleRetransmittedRequest(ev, &d)
	}
	return d
}

// assignServer assigns the flow to the server of its mark: one of those that received its SYN,
// here or from another VM.
func (e *Engine) assignServer(r *record, number uint32) {
	r.marked = true
	if number == r.server {
		return
	}
	inFlight := 0
	if r.inFlight {
		inFlight = 1
	}
	if r.server != 0 {
		e.statsByNumber(r.server).adjust(-1, -inFlight)
	}
	r.server = number
	e.statsByNumber(number).adjust(1, inFlight)
}

// recordPacket updates the flow's record and its server's statistics from a packet.
func (e *Engine) recordPacket(ev *lhflow.Event, r *record, d *Decision) {
	stats := e.statsByNumber(r.server)
	r.lastSeen = ev.Now
	if r.state == opening {
		e.recordOpened(ev, r, stats, d)
	}
	if r.inFlight && int32(ev.Ack-r.requestAck) > 0 {
		e.recordServed(ev, r, stats, d)
	}
	if end := ev.Seq + uint32(ev.Data); ev.Data > 0 && int32(end-r.nextSeq) > 0 {
		r.nextSeq = end
		if !r.inFlight {
			r.work = e.workOf(d.To.Service, d.Route)
			r.sentAt, r.requestAck = ev.Now, ev.Ack
			r.setInFlight(ev.Now, true)
			stats.adjust(0, 1)
		}
	}
	if !r.inFlight && ev.Flags.Has(lhflow.ACK) {
		r.requestAck = ev.Ack
	}
	if ev.Flags.Has(lhflow.FIN) {
		r.state = closing
		e.clearInFlight(ev.Now, stats, r)
	}
}

// recordOpened records that a caller acknowledges the answer to its SYN.
func (e *Engine) recordOpened(ev *lhflow.Event, r *record, stats *serverStats, d *Decision) {
	if !r.throttled() {
		d.Opened, d.Latency = true, ev.Now-r.sentAt
		r.handshake = d.Latency
		e.speeds.recordHandshake(d.To, d.Latency)
	}
	r.state = open
	r.nextSeq, r.requestAck = ev.Seq, ev.Ack
	e.clearInFlight(ev.Now, stats, r)
	e.recordAnyAnswer(ev.Now, d.To)
	e.recordFollowUp(ev.Now, r, stats, d)
	stats.mu.Lock()
	e.answersAgain(ev.Now, r.server, stats)
	stats.mu.Unlock()
	if d.Recovered = stats.recordAnswered(ev.Now); d.Recovered {
		d.Observed = Observation{Server: r.server, Evidence: AnsweredSYN, At: ev.Now}
	}
}

// recordServed records that a caller acknowledges the answer to its request.
func (e *Engine) recordServed(ev *lhflow.Event, r *record, stats *serverStats, d *Decision) {
	d.Served, d.Latency = true, ev.Now-r.sentAt
	e.clearInFlight(ev.Now, stats, r)
	e.recordAnyAnswer(ev.Now, d.To)
	if news := stats.recordServed(ev.Now); stats.domain.recordAlive(ev.Now, true) || news {
		d.Observed = Observation{Server: r.server, Evidence: AnsweredRequest, At: ev.Now}
	}
	e.recordSpeed(ev.Now, r, d)
	e.recordLatency(ev.Now, r, d, ev.Ack-r.requestAck)
	if e.recordAnswerTime(ev.Now, stats, d) {
		d.Observed = Observation{Server: r.server, Evidence: SlowAnswer, At: ev.Now}
	}
}
