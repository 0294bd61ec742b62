package lhmark

import "time"

const (
	// outageThreshold is the age of the known state above which the store counts as
	// having been unreachable. VMs read the store or receive its changes more often
	// than this, and entries outlive a shorter silence.
	outageThreshold = 2 * time.Second
	// restoreGrace is how long after an outage of the store a server that it does not list
	// still counts as present. Running servers are listed again within two seconds.
	restoreGrace = 2500 * time.Millisecond
	// copyGrace is how long after a restore of the store an entry counts as possibly copied
	// from an earlier state. A server that runs reports by then, and the entry of one that
	// does not has expired.
	copyGrace = 5 * time.Second
	// endedRetention is how long a server that has ended stays known, so that its flows can
	// be reset. It is the longest flow lifetime that the platform guarantees.
	endedRetention = 60 * time.Second
)

// Directory collects what the platform's store reports and determines which servers
// take new flows. The zero Directory is empty. It is not safe for concurrent use.
type Directory struct {
	cfg Config
	// servers holds all servers that are or were listed, by name.
	servers map[string]*serverEntry
	// synced is set once the state of the store has been known, most recently as of
	// asOf. That is negative if a VM has started with the state of another VM.
	synced bool
	asOf   time.Duration
	// reconnectedAt is when the store was reached again after an outage; 0 for never.
	reconnectedAt time.Duration
	// restoredAt is when the store was first seen after it was restored from a copy; 0 for
	// never.
	restoredAt time.Duration
	// stale is set when table is out of date.
	stale bool
	table *Table
}

// serverEntry is a server and the status of its entry in the store.
type serverEntry struct {
	server *Server
	// missing is set while the store has no entry of the server, since missingSince.
	missing      bool
	missingSince time.Duration
	// confirmAt is the time as of which the state of the store has to be known for
	// the server to count as ended.
	confirmAt time.Duration
	// ended is set once the server counts as ended.
	ended bool
	// copied is the entry that the store has if it may be older than what is known of the
	// server; nil otherwise.
	copied *Server
}

// SetConfig replaces the configuration by a newer one and reports whether it did.
func (d *Directory) SetConfig(cfg Config) bool {
	if cfg.Revision <= d.cfg.Revision {
		return false
	}
	d.cfg, d.stale = cfg, true
	return true
}

// Set records the entry of a server and reports whether it changes anything. After a
// restore of the store, an entry that may be older than what is known does not take effect
// before copyGrace has passed, and never if the same run of the server has reported later.
func (d *Directory) Set(s Server) bool {
	if d.servers == nil {
		d.servers = make(map[string]*serverEntry)
	}
	entry := d.servers[s.Name]
	if entry != nil && d.restoredAt > 0 && d.asOf < d.restoredAt+copyGrace && entry.holdBack(&s) {
		return true
	}
	if entry != nil && !entry.missing && entry.server.equal(&s) {
		wasCopied := entry.copied != nil
		entry.copied = nil
		return wasCopied
	}
	d.servers[s.Name] = &serverEntry{server: &s}
	d.stale = true
	return true
}

// Remove records that the store no longer has an entry of a server, and reports
// whether that is a change. An entry that is missing after an outage may come back.
func (d *Directory) Remove(now time.Duration, name string) bool {
	entry := d.servers[name]
	if entry == nil {
		return false
	}
	wasCopied := entry.copied != nil
	entry.copied = nil
	if entry.missing {
		return wasCopied
	}
	entry.missing, entry.missingSince, entry.confirmAt = true, now, d.asOf
	if d.reconnectedAt > 0 {
		entry.confirmAt = max(d.asOf, d.reconnectedAt+restoreGrace)
	}
	d.stale = true
	return true
}

// Refresh records that the state of the store of some time ago is known, or will be
// once the changes that follow have been recorded.
func (d *Directory) Refresh(now, age time.Duration) {
	if !d.synced {
		d.synced, d.asOf = true, now-age
		return
	}
	if now-d.asOf > outageThreshold {
		d.reconnectedAt = now
	}
	d.asOf = max(d.asOf, now-age)
}

// Restored records that the store has been restored from a copy some seconds old, which
// lacks the latest entries. Call it before the entries of the copy are recorded.
func (d *Directory) Restored(now time.Duration) { d.reconnectedAt, d.restoredAt = now, now }

// Current reports whether the directory is up to date, so that a server or route
// missing from it does not exist.
func (d *Directory) Current(now time.Duration) bool {
	return d.synced && now-d.asOf <= outageThreshold
}

// Config returns the current configuration.
func (d *Directory) Config() Config { return d.cfg }

// Server returns a server that the store lists.
func (d *Directory) Server(name string) (Server, bool) {
	entry := d.servers[name]
	switch {
	case entry == nil || entry.missing && entry.copied == nil:
		return Server{}, false
	case entry.missing:
		return *entry.copied, true
	}
	return *entry.server, true
}

// Table returns the table of the current state, the same one until the state changes.
func (d *Directory) Table(now time.Duration) *Table {
	for name, entry := range d.servers {
		if entry.copied != nil && d.asOf >= d.restoredAt+copyGrace {
			entry = &serverEntry{server: entry.copied}
			d.servers[name], d.stale = entry, true
		}
		if !entry.missing {
			continue
		}
		if !entry.ended && d.asOf >= entry.confirmAt {
			entry.ended, d.stale = true, true
		}
		if entry.ended && now-entry.missingSince > endedRetention {
			delete(d.servers, name)
			d.stale = true
		}
	}
	if d.table != nil && !d.stale {
		return d.table
	}
	var present, ended []*Server
	for _, entry := range d.servers {
		if entry.ended {
			ended = append(ended, entry.server)
		} else {
			present = append(present, entry.server)
		}
	}
	d.table, d.stale = newTable(d.cfg, present, ended), false
	return d.table
}

// holdBack reports whether an entry of a restored store may be older than what is known of
// the server. It keeps the entry unless it is certainly older.
func (e *serverEntry) holdBack(s *Server) bool {
	known := e.server
	sameStart := s.StartedAt == known.StartedAt
	laterReportKnown := sameStart && s.Sequence < known.Sequence
	removedSince := sameStart && s.Sequence == known.Sequence && e.missing
	if s.StartedAt > known.StartedAt || sameStart && !laterReportKnown && !removedSince {
		return false
	}
	if !laterReportKnown || s.StartedAt == 0 {
		e.copied = s
	}
	return true
}
