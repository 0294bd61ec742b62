package lhentry

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// placer implements lhflow.Placer with the configuration in force and admission control.
type placer struct{ entry *Entry }

// Place implements lhflow.Placer. A flow that is placed again because its first server
// did not respond has already been admitted.
func (p placer) Place(now time.Duration, id lhflow.ID, key lhflow.Key, tried uint32) lhflow.Placement {
	if p.entry.table.Load().Revision() == 0 {
		return lhflow.Placement{Reason: lhflow.ReasonNoConfig}
	}
	work := &p.entry.work
	var d lhwork.Decision
	if tried == 0 {
		d = work.Admit(now, lhwork.Unit{Key: key})
		if !d.Admitted {
			return lhflow.Placement{Reason: p.refusal(key, flowReason(d.Reason))}
		}
	}
	exclude := [1]uint32{tried}
	server, ok := work.Choose(now, id, key, exclude[:])
	if !ok {
		return lhflow.Placement{Reason: p.refusal(key, lhflow.ReasonNoServer)}
	}
	return lhflow.Placement{Server: server, Work: d.Kind}
}

// refusal returns the reason for the refusal of a flow: that all servers of its service are in
// evacuated data centres, or the given one.
func (p placer) refusal(key lhflow.Key, reason lhflow.Reason) lhflow.Reason {
	if service, ok := p.entry.table.Load().Service(key); ok && service.Evacuated() {
		return lhflow.ReasonEvacuated
	}
	return reason
}

func flowReason(r lhwork.Reason) lhflow.Reason {
	if r == lhwork.ReasonNoService {
		return lhflow.ReasonNoService
	}
	return lhflow.ReasonRefused
}

// Serves implements lhflow.Placer. It returns false for a dead server. It returns true
// for a server that a later revision declares: until this VM has that revision, packets
// to the server are dropped so that the caller retransmits them.
func (p placer) Serves(server uint32, key lhflow.Key) bool {
	table := p.entry.table.Load()
	if table.Ahead(server) {
		return true
	}
	s, ok := table.Server(server)
	if !ok || p.entry.detector.isDead(server) {
		return false
	}
	service, ok := table.Service(key)
	return ok && s.Service() == service
}

// Declared implements lhflow.Placer.
func (p placer) Declared(server uint32) bool {
	table := p.entry.table.Load()
	_, ok := table.Server(server)
	return ok || table.Ahead(server)
}

// Accepts implements lhflow.Placer.
func (p placer) Accepts(server uint32) bool {
	s, ok := p.server(server)
	return ok && s.Serving() && !p.entry.detector.isDead(server)
}

func (p placer) server(number uint32) (*lhplace.Server, bool) {
	return p.entry.table.Load().Server(number)
}

// Retry implements lhflow.Placer.
func (p placer) Retry(key lhflow.Key) bool { return p.entry.work.Retry(key) }

// HandshakeTimeout implements lhflow.Placer.
func (p placer) HandshakeTimeout(now time.Duration, number uint32) time.Duration {
	s, ok := p.server(number)
	if !ok {
		return lhwork.MaxHandshakeTimeout
	}
	service := s.Service()
	key := lhflow.NewKey(service.Proto(), service.Address(), service.Address())
	return p.entry.work.HandshakeTimeout(now, key)
}

// Report implements lhflow.Placer.
func (p placer) Report(now time.Duration, r lhflow.Report) {
	work := &p.entry.work
	f := lhwork.Flow{Server: r.Server, Kind: r.Work, Caller: r.Caller, Phase: workPhase(r)}
	switch r.Transition {
	case lhflow.Opened:
		work.Opened(now, f)
		if r.State >= lhflow.Complete {
			// A UDP flow has no handshake.
			f.Phase = lhwork.PhaseOpening
			work.Established(now, f)
			return
		}
		p.entry.detector.synSent(now, r.Server)
	case lhflow.Adopted:
		work.Adopted(f)
	case lhflow.Answered:
		work.Answered(now, f, r.ResponseTime)
		p.entry.detector.synAnswered(r.Server)
	case lhflow.Established:
		work.Established(now, f)
	case lhflow.Responded:
		work.Served(now, f, r.ResponseTime)
	case lhflow.Rejected:
		work.ServerReset(now, f)
	case lhflow.Unanswered:
		work.Silent(now, f)
	case lhflow.Ended:
		work.Closed(now, f)
	}
}

func workPhase(r lhflow.Report) lhwork.Phase {
	switch {
	case r.Responded:
		return lhwork.PhaseServed
	case r.State >= lhflow.Complete:
		return lhwork.PhaseWaiting
	}
	return lhwork.PhaseOpening
}
