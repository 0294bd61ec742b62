package lhmark

import "time"

const (
	// outageThreshold is the age of the known state above which the store counts as
	// having been unreachable. VMs read the store or receive its changes more often
	// than this, and entries outlive a shorter silence.
	outageThreshold = 2 * time.Second
	// relistGrace is how long after an outage of the store a server that it does not list
	// still counts as present. Running servers are listed again within two seconds.
	relistGrace = 2500 * time.Millisecond
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
	// evacuations holds the evacuations in force, by data centre.
	evacuations map[string]Evacuation
	// synced is set once the state of the store has been known, most recently as of
	// asOf. That is negative if a VM has started with the state of another VM.
	synced bool
	asOf   time.Duration
	// reconnectedAt is when the store was reached again after an outage; 0 for never.
	reconnectedAt time.Duration
	// restoredAt is when the store was first seen after it was restored from a copy; 0 for
	// never.
	restoredAt time.Duration
	// listingCopy is set while the first listing after a restore is recorded.
	listingCopy bool
	// stale is set when table is out of date.
	stale bool
	table *Table
}

// serverEntry is a server and the status of its entry in the store.
type serverEntry struct {
	server *Server
	// reportedAt is the time as of which the store had server, for its warm-up; 0 if unknown.
	reportedAt time.Duration
	// sequence is the number of the last report of that run; server may be an earlier report
	// that says the same.
	sequence uint64
	// missing is set while the store has no entry of the server, since missingSince.
	missing      bool
	missingSince time.Duration
	// confirmAt is the time as of which the state of the store has to be known for
	// the server to count as ended.
	confirmAt time.Duration
	// ended is set once the server counts as ended, so that it takes no new flows.
	ended bool
	// lost is set if a restore of the store may be the reason why the entry is missing. The
	// server may run all the same, so that its flows are kept.
	lost bool
	// heldBack replaces server copyGrace after a restore of the store, unless the entry changes
	// before; nil for none.
	heldBack *Server
}

// SetConfig replaces the configuration by a newer one and reports whether it did.
func (d *Directory) SetConfig(cfg Config) bool {
	if cfg.Revision <= d.cfg.Revision {
		return false
	}
	d.cfg, d.stale = cfg, true
	return true
}

// Set records the entry of a server and reports whether it changes anything. Until copyGrace
// after a restore of the store, an entry that may be older than what is known does not
// replace that, and a server that was removed is back for its flows only.
func (d *Directory) Set(s Server) bool {
	if d.servers == nil {
		d.servers = make(map[string]*serverEntry)
	}
	entry := d.servers[s.Name]
	if entry != nil && d.restoredAt > 0 && d.asOf < d.restoredAt+copyGrace && d.mayBeOlder(&s, entry) {
		d.holdBack(entry, &s)
		return true
	}
	if entry != nil && !entry.missing && entry.server.equal(&s) {
		wasHeldBack := entry.heldBack != nil
		entry.heldBack, entry.sequence = nil, s.Sequence
		return wasHeldBack
	}
	d.servers[s.Name] = &serverEntry{server: &s, reportedAt: d.asOf, sequence: s.Sequence}
	d.stale = true
	return true
}

// Remove records that the store no longer has an entry of a server, and reports
// whether that is a change. An entry that is missing after an outage may come back.
func (d *Directory) Remove(now time.Duration, name string) bool {
	entry := d.servers[name]
	if entry == nil || entry.missing {
		return false
	}
	entry.heldBack = nil
	entry.missing, entry.missingSince, entry.confirmAt = true, now, d.asOf
	entry.lost = d.listingCopy
	if d.reconnectedAt > 0 {
		entry.confirmAt = max(d.asOf, d.reconnectedAt+relistGrace)
	}
	d.stale = true
	return true
}

// Refresh records that the state of the store of some time ago is known, or will be
// once the changes that follow have been recorded.
func (d *Directory) Refresh(now, age time.Duration) {
	d.listingCopy = false
	if !d.synced {
		d.synced, d.asOf = true, now-age
		return
	}
	if now-d.asOf > outageThreshold {
		d.reconnectedAt = now
	}
	d.asOf = max(d.asOf, now-age)
}

// Current reports whether the directory is up to date, so that a server or route
// missing from it does not exist.
func (d *Directory) Current(now time.Duration) bool {
	return d.synced && now-d.asOf <= outageThreshold
}

// Config returns the current configuration.
func (d *Directory) Config() Config { return d.cfg }

// Server returns a server that the store lists, with the warm-up that remains.
func (d *Directory) Server(name string) (Server, bool) {
	entry := d.servers[name]
	switch {
	case entry == nil || entry.missing:
		return Server{}, false
	case entry.heldBack != nil && entry.heldBack.StartedAt >= entry.server.StartedAt:
		return *entry.heldBack, true
	}
	s := *entry.server
	s.Sequence = entry.sequence
	s.Warmup = max(s.Warmup-(d.asOf-entry.reportedAt), 0)
	return s, true
}

// Table returns the table of the current state, the same one until the state changes.
func (d *Directory) Table(now time.Duration) *Table {
	for name, entry := range d.servers {
		if entry.heldBack != nil && d.asOf >= d.restoredAt+copyGrace {
			entry = entry.settle()
			d.servers[name], d.stale = entry, true
		}
		if !entry.missing {
			continue
		}
		if !entry.ended && d.asOf >= entry.confirmAt {
			entry.ended, d.stale = true, true
			if entry.lost {
				entry.keepFlows()
			}
		}
		if entry.ended && now-entry.missingSince > endedRetention {
			delete(d.servers, name)
			d.stale = true
		}
	}
	d.settleEvacuations()
	if d.table != nil && !d.stale {
		return d.table
	}
	var present, ended []*Server
	for _, entry := range d.servers {
		if entry.ended && !entry.lost {
			ended = append(ended, entry.server)
		} else {
			present = append(present, entry.server)
		}
	}
	d.table, d.stale = newTable(d.cfg, present, ended, d.evacuations), false
	return d.table
}
