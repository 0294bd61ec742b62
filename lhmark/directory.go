package lhmark

import "time"

const (
	// outageTime is the age of what is known from which on the store has been away: VMs
	// read it or hear of it more often, and entries outlive a shorter silence.
	outageTime = 2 * time.Second
	// restoreTime is how long after an outage of the store a server is waited for
	// that the store does not list: those that live are back within two seconds.
	restoreTime = 2500 * time.Millisecond
	// keepTime is how long a server that has ended is known, so that its flows can be
	// reset. It is the longest life that the platform promises to a flow.
	keepTime = 60 * time.Second
)

// Directory gathers what the platform's store reports and says which servers take
// new flows. The zero Directory is empty. It is not safe for concurrent use.
type Directory struct {
	cfg Config
	// servers holds all servers that are or were listed, by name.
	servers map[string]*listed
	// known is set once the store has been known, which was last so at asOf. That is
	// negative where a VM has begun with what another knew.
	known bool
	asOf  time.Duration
	// back is when the store was reached again after an outage; 0 for never.
	back time.Duration
	// changed is set when the table in force is out of date.
	changed bool
	table   *Table
}

// listed is a server and what became of its entry.
type listed struct {
	server *Server
	// missing is set while the store lists no entry, since the time gone.
	missing bool
	gone    time.Duration
	// until is the time of which the store has to be known for the server to have ended.
	until time.Duration
	// ended is set once it has.
	ended bool
}

// SetConfig takes a configuration, unless it is older than the one in force.
func (d *Directory) SetConfig(cfg Config) bool {
	if cfg.Revision <= d.cfg.Revision {
		return false
	}
	d.cfg, d.changed = cfg, true
	return true
}

// Set takes the entry of a server and reports whether it says anything new.
func (d *Directory) Set(s Server) bool {
	if d.servers == nil {
		d.servers = make(map[string]*listed)
	}
	l := d.servers[s.Name]
	if l != nil && !l.missing && l.server.equal(&s) {
		return false
	}
	d.servers[s.Name] = &listed{server: &s}
	d.changed = true
	return true
}

// Remove takes note that the store has no entry of a server any more. An entry that
// is missing after an outage may come back.
func (d *Directory) Remove(now time.Duration, name string) bool {
	l := d.servers[name]
	if l == nil || l.missing {
		return false
	}
	l.missing, l.gone, l.until = true, now, d.asOf
	if d.back > 0 {
		l.until = max(d.asOf, d.back+restoreTime)
	}
	d.changed = true
	return true
}

// Refresh says that all that the store held some time ago is known, or will be with
// the changes that follow.
func (d *Directory) Refresh(now, age time.Duration) {
	if !d.known {
		d.known, d.asOf = true, now-age
		return
	}
	if now-d.asOf > outageTime {
		d.back = now
	}
	d.asOf = max(d.asOf, now-age)
}

// Current reports whether what the store does not list does not exist.
func (d *Directory) Current(now time.Duration) bool {
	return d.known && now-d.asOf <= outageTime
}

// Config returns the configuration in force.
func (d *Directory) Config() Config { return d.cfg }

// Server returns a server that the store lists.
func (d *Directory) Server(name string) (Server, bool) {
	l := d.servers[name]
	if l == nil || l.missing {
		return Server{}, false
	}
	return *l.server, true
}

// Table returns what is known now. It returns the same table until that changes.
func (d *Directory) Table(now time.Duration) *Table {
	for name, l := range d.servers {
		if !l.missing {
			continue
		}
		if !l.ended && d.asOf >= l.until {
			l.ended, d.changed = true, true
		}
		if l.ended && now-l.gone > keepTime {
			delete(d.servers, name)
			d.changed = true
		}
	}
	if d.table != nil && !d.changed {
		return d.table
	}
	var present, ended []*Server
	for _, l := range d.servers {
		if l.ended {
			ended = append(ended, l.server)
		} else {
			present = append(present, l.server)
		}
	}
	d.table, d.changed = newTable(d.cfg, present, ended), false
	return d.table
}
