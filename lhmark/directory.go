package lhmark

import "time"

const (
	// restoreTime is how long after an outage of the store a server is waited for
	// that the store does not list: those that live are back within two seconds.
	restoreTime = 2500 * time.Millisecond
	// keepTime is how long the flows of a server that is gone are still sent to it,
	// since a server may lose its entry and live on. It is the longest life that the
	// platform promises to a flow.
	keepTime = 60 * time.Second
)

// Directory gathers what the platform's store reports and says which servers take
// new flows. The zero Directory is empty. It is not safe for concurrent use.
type Directory struct {
	cfg Config
	// servers holds all servers that are or were listed, by name.
	servers map[string]*listed
	// away is set while the store does not answer, and back is when it last began to
	// answer again, or 0.
	away bool
	back time.Duration
	// reached is set once the store has answered.
	reached bool
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
	// until is when a server whose entry is missing takes no new flows any more.
	until time.Duration
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
	l.missing, l.gone, l.until = true, now, now
	if d.away || d.back > 0 && now < d.back+restoreTime {
		l.until = d.back + restoreTime
	}
	d.changed = true
	return true
}

// Retain removes all servers but those named, and returns the removed.
func (d *Directory) Retain(now time.Duration, names map[string]bool) []string {
	var removed []string
	for name := range d.servers {
		if !names[name] && d.Remove(now, name) {
			removed = append(removed, name)
		}
	}
	return removed
}

// SetReached says whether the store answers.
func (d *Directory) SetReached(now time.Duration, ok bool) {
	if ok && d.away {
		d.back = max(now, 1)
	}
	d.away = !ok
	d.reached = d.reached || ok
}

// Current reports whether the store answers, so that what it does not list does not
// exist.
func (d *Directory) Current() bool { return d.reached && !d.away }

// Table returns what is known now. It returns the same table until that changes.
func (d *Directory) Table(now time.Duration) *Table {
	for name, l := range d.servers {
		if !l.missing {
			continue
		}
		if l.until != 0 && now >= l.until {
			l.until, d.changed = 0, true
		}
		if now-l.gone > keepTime {
			delete(d.servers, name)
			d.changed = true
		}
	}
	if d.table != nil && !d.changed {
		return d.table
	}
	var serving, kept []*Server
	for _, l := range d.servers {
		if l.missing && now >= l.until {
			kept = append(kept, l.server)
		} else {
			serving = append(serving, l.server)
		}
	}
	d.table, d.changed = newTable(d.cfg, serving, kept), false
	return d.table
}
