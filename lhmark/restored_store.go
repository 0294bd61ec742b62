package lhmark

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

const (
	// copyGrace is how long after a restore of the store an entry counts as possibly copied
	// from an earlier state. A server that runs reports by then, and the entry of one that
	// does not has expired.
	copyGrace = 5 * time.Second
	// maxCopyAge is the time before a restore of the store in which entries may have been
	// written again that the copy lacks. It covers the age of the copy and the outage.
	maxCopyAge = 15 * time.Second
)

// Restored records that the store has been restored from a copy some seconds old, which
// lacks the latest entries. The changes that are recorded until the next call of Refresh
// result from the first listing of the copy.
func (d *Directory) Restored(now time.Duration) {
	d.reconnectedAt, d.restoredAt, d.listingCopy = now, now, true
	for _, entry := range d.servers {
		if entry.missing && now-entry.missingSince <= maxCopyAge && entry.server.State != lhconf.Draining {
			entry.keepFlows()
			d.stale = true
		}
	}
}

// Doubtful reports whether a restore of the store puts the entry of a server, or its absence,
// in doubt, so that it does not take full effect.
func (d *Directory) Doubtful(name string) bool {
	entry := d.servers[name]
	return entry != nil && (entry.heldBack != nil || entry.lost)
}

// mayBeOlder reports whether an entry of a restored store may be older than what is known of
// the server: a later run, a later report, or the removal of the same report before the
// restore.
func (d *Directory) mayBeOlder(s *Server, known *serverEntry) bool {
	if s.StartedAt != known.server.StartedAt {
		return s.StartedAt < known.server.StartedAt
	}
	removed := known.missing && known.missingSince < d.restoredAt || known.heldBack != nil && d.listingCopy
	return s.Sequence < known.sequence || removed && s.Sequence == known.sequence
}

// holdBack records an entry of a restored store that may be older than what is known.
func (d *Directory) holdBack(known *serverEntry, s *Server) {
	settled, sequence := s, s.Sequence
	if s.StartedAt == known.server.StartedAt && s.StartedAt != 0 && s.Sequence < known.sequence {
		settled, sequence = known.server, known.sequence
	}
	if !known.missing {
		known.heldBack = settled
		return
	}
	d.servers[s.Name] = &serverEntry{server: settled.draining(), sequence: sequence, heldBack: settled}
	d.stale = true
}

// settle returns the entry with what was held back in force.
func (e *serverEntry) settle() *serverEntry {
	sequence := e.heldBack.Sequence
	if e.heldBack.StartedAt == e.server.StartedAt {
		sequence = e.sequence
	}
	return &serverEntry{server: e.heldBack, sequence: sequence}
}

// keepFlows marks a missing entry as lost by the store.
func (e *serverEntry) keepFlows() {
	e.lost = true
	if e.ended {
		e.server = e.server.draining()
	}
}
