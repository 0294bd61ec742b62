package lhentry

import (
	"sync"
	"sync/atomic"
	"time"
)

// deadTime is how long a backend server has left SYNs unanswered, and sent no packet
// at all, when its callers are told that it is dead. It is long, for a flow whose
// server comes back within it goes on.
const deadTime = time.Minute

// silence tells which backend servers are dead, by what this VM sees of them. The
// zero silence has seen nothing.
type silence struct {
	// servers holds a *sight by the server's number.
	servers sync.Map
	// dead is nil while no server is; it is never changed after it has been stored.
	dead atomic.Pointer[map[uint32]bool]
}

// sight is what was seen of one backend server, in the VM's monotonic time.
type sight struct {
	// heard is when the server last sent a packet.
	heard atomic.Int64
	// asked is when the first SYN was sent that is still unanswered; 0 for none.
	asked atomic.Int64
}

func (s *silence) sight(server uint32) *sight {
	if v, ok := s.servers.Load(server); ok {
		return v.(*sight)
	}
	v, _ := s.servers.LoadOrStore(server, &sight{})
	return v.(*sight)
}

// heard notes a packet from a server.
func (s *silence) heard(now time.Duration, server uint32) {
	s.sight(server).heard.Store(int64(now))
}

// asked notes a SYN to a server, answered its answer.
func (s *silence) asked(now time.Duration, server uint32) {
	s.sight(server).asked.CompareAndSwap(0, max(int64(now), 1))
}

func (s *silence) answered(server uint32) {
	s.sight(server).asked.Store(0)
}

// isDead reports whether the server counted as dead at the last refresh.
func (s *silence) isDead(server uint32) bool {
	dead := s.dead.Load()
	return dead != nil && (*dead)[server]
}

// refresh looks for dead servers anew and forgets those that are declared no more.
// A server that can't be reached for a cut is not dead.
func (s *silence) refresh(now time.Duration, state func(server uint32) (declared, cut bool)) {
	dead := make(map[uint32]bool)
	s.servers.Range(func(key, value any) bool {
		server, seen := key.(uint32), value.(*sight)
		declared, cut := state(server)
		if !declared {
			s.servers.Delete(server)
			return true
		}
		asked := time.Duration(seen.asked.Load())
		heard := time.Duration(seen.heard.Load())
		if !cut && asked != 0 && now-asked > deadTime && now-heard > deadTime {
			dead[server] = true
		}
		return true
	})
	if len(dead) == 0 {
		s.dead.Store(nil)
		return
	}
	s.dead.Store(&dead)
}
