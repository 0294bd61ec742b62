package lhentry

import (
	"sync"
	"sync/atomic"
	"time"
)

// deadTimeout is how long a backend server must have left a SYN unanswered and sent no
// packet to count as dead. It is long because flows continue if their server returns
// within this time; callers of a dead server are reset.
const deadTimeout = time.Minute

// failureDetector determines which backend servers are dead from the traffic that this
// VM sees. The zero failureDetector has observed nothing.
type failureDetector struct {
	// servers maps server numbers to *serverActivity.
	servers sync.Map
	// dead is nil while no server is dead. A stored map is immutable.
	dead atomic.Pointer[map[uint32]bool]
}

// serverActivity is what was observed of one backend server, in the VM's monotonic time.
type serverActivity struct {
	// lastReceived is when the server last sent a packet.
	lastReceived atomic.Int64
	// unansweredSince is when the first SYN without an answer was sent; 0 if there is none.
	unansweredSince atomic.Int64
}

func (d *failureDetector) activity(server uint32) *serverActivity {
	if v, ok := d.servers.Load(server); ok {
		return v.(*serverActivity)
	}
	v, _ := d.servers.LoadOrStore(server, &serverActivity{})
	return v.(*serverActivity)
}

// packetReceived records a packet from a server.
func (d *failureDetector) packetReceived(now time.Duration, server uint32) {
	d.activity(server).lastReceived.Store(int64(now))
}

// synSent records a SYN to a server.
func (d *failureDetector) synSent(now time.Duration, server uint32) {
	d.activity(server).unansweredSince.CompareAndSwap(0, max(int64(now), 1))
}

// synAnswered records the server's response to a SYN.
func (d *failureDetector) synAnswered(server uint32) {
	d.activity(server).unansweredSince.Store(0)
}

// isDead reports whether the server was dead at the last update.
func (d *failureDetector) isDead(server uint32) bool {
	dead := d.dead.Load()
	return dead != nil && (*dead)[server]
}

// update determines the dead servers again and forgets servers that are no longer
// declared. A server in an unreachable data centre does not count as dead.
func (d *failureDetector) update(now time.Duration, state func(server uint32) (declared, unreachable bool)) {
	dead := make(map[uint32]bool)
	d.servers.Range(func(key, value any) bool {
		server, observed := key.(uint32), value.(*serverActivity)
		declared, unreachable := state(server)
		if !declared {
			d.servers.Delete(server)
			return true
		}
		unansweredSince := time.Duration(observed.unansweredSince.Load())
		lastReceived := time.Duration(observed.lastReceived.Load())
		if !unreachable && unansweredSince != 0 && now-unansweredSince > deadTimeout && now-lastReceived > deadTimeout {
			dead[server] = true
		}
		return true
	})
	if len(dead) == 0 {
		d.dead.Store(nil)
		return
	}
	d.dead.Store(&dead)
}
