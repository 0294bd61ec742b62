package lhmark

import (
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// state is where a flow stands.
type state uint8

const (
	// opening has sent a SYN that no one is known to have answered.
	opening state = iota
	// open has completed its handshake.
	open
	// closing has seen the caller's FIN.
	closing
)

const (
	// maxServers is how many servers the SYN of a flow goes to.
	maxServers = 3
	// halfOpenLife is how long a handshake lasts: callers give up after 1.4 s.
	halfOpenLife = 1500 * time.Millisecond
	// closingLife is how long after a caller's FIN late packets are expected.
	closingLife = 3 * time.Second
	// defaultIdle bounds the silence of an open flow where the configuration does
	// not: as long as the platform lets a flow live.
	defaultIdle = 60 * time.Second
	// shardCount is how many parts the records are kept in.
	shardCount = 32
)

// record is what a VM has seen of a flow.
type record struct {
	state state
	// server is the number of the server that the flow's packets go to.
	server uint32
	// tried are the servers that its SYN went to; the first attempts are valid.
	tried    [maxServers]uint32
	attempts uint8
	// isn is the sequence number of the SYN; 0 where this VM has not seen it.
	isn uint32
	// copies is the number of the latest copy of the SYN.
	copies uint32
	// sent is when the SYN went to its latest server, or the latest request began.
	sent time.Duration
	// seen is when the VM last saw a packet.
	seen time.Duration
	// end is the sequence number behind the caller's data, ack what the caller had
	// acknowledged when its latest request began.
	end, ack uint32
	// busy is set while a SYN or request is not answered.
	busy bool
}

// expired reports whether nothing more is expected of the flow.
func (r *record) expired(now, idle time.Duration) bool {
	silence := now - r.seen
	switch r.state {
	case opening:
		return silence > halfOpenLife
	case closing:
		return silence > closingLife
	}
	return silence > idle
}

// begins reports whether a packet brings the first data of a request.
func (r *record) begins(ev *lhflow.Event) bool {
	return ev.Data > 0 && !r.busy && int32(ev.Seq+uint32(ev.Data)-r.end) > 0
}

// shard is a part of the records.
type shard struct {
	mu      sync.Mutex
	records map[lhflow.Key]*record
}

// find returns the record of a flow, or nil. The lock is held.
func (s *shard) find(key lhflow.Key) *record { return s.records[key] }

// put stores the record of a flow. The lock is held.
func (s *shard) put(key lhflow.Key, r *record) {
	if s.records == nil {
		s.records = make(map[lhflow.Key]*record)
	}
	s.records[key] = r
}
