package lhflow

import (
	"sync"
	"time"
)

// shardCount is the number of parts of the table, each under its own lock.
const shardCount = 64

// table holds the records of one VM in shards.
type table struct {
	shards [shardCount]shard
}

// shard is a part of the table.
type shard struct {
	mu sync.Mutex
	// entries is nil until the first record is stored.
	entries map[ID]entry
	// _ keeps the locks of two shards out of one cache line.
	_ [48]byte
}

func (t *table) shard(id ID) *shard {
	return &t.shards[id.Lo>>58]
}

// len returns the number of records in the table.
func (t *table) len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}

// put stores e; the shard's lock is held.
func (s *shard) put(id ID, e entry) {
	if s.entries == nil {
		s.entries = make(map[ID]entry)
	}
	s.entries[id] = e
}

// tick is a VM's monotonic time in milliseconds; it wraps after 49 days.
type tick uint32

func ticks(d time.Duration) tick { return tick(d / time.Millisecond) }

// since returns the milliseconds from u to t, negative where u lies ahead.
func (t tick) since(u tick) int32 { return int32(t - u) }

// after returns the time from u to t.
func (t tick) after(u tick) time.Duration {
	return time.Duration(t.since(u)) * time.Millisecond
}

// mark is a property of an entry.
type mark uint8

const (
	// owned is set on the record of an owner, which is valid without a lease.
	owned mark = 1 << iota
	// counted is set while the flow counts against this VM's part of the limits.
	counted
	// callerFIN and serverFIN are set once that end has sent FIN.
	callerFIN
	serverFIN
	// datagram is set for UDP.
	datagram
	// served is set once the server has sent data.
	served
	// silent is set once the server has been reported as silent.
	silent
)

// RecordBytes is what a record takes in the table at half a million, in bytes.
const RecordBytes = 96

// entry is the record of a flow in the table. It holds no pointer and is kept
// small, for a VM holds hundreds of thousands.
type entry struct {
	// server is the number of the backend server that holds the flow; never 0.
	server uint32
	// isn is the initial sequence number of the caller's SYN; 0 for UDP.
	isn uint32
	// seen is when this VM last saw a packet of the flow.
	seen tick
	// opened is when the SYN was last sent to a server tried for the first time.
	opened tick
	// lease is when a lease on the record ends: the VM's own where the entry is
	// not owned, the latest that it has granted where it is.
	lease tick
	// renewed is when the record was last copied to the second owner.
	renewed tick
	// asked is when the caller first sent data; 0 before.
	asked tick
	// copied is the short form of the last member that the record was copied to.
	copied uint16
	// work is the number of the flow's kind of work.
	work  uint16
	state State
	marks mark
	// relayed counts the packets that peers have passed on; it stays at its maximum.
	relayed uint8
	// attempt counts the servers tried; at least 1.
	attempt uint8
}

func (e *entry) has(m mark) bool { return e.marks&m != 0 }

// valid reports whether the entry may decide over a packet at time t.
func (e *entry) valid(t tick) bool {
	return e.has(owned) || e.lease.since(t) > 0
}

// settled reports whether the first owner has nothing left to do for the flow:
// the server has answered and the second owner's copy is in order.
func (e *entry) settled(t tick) bool {
	return !e.has(counted) || e.has(served) && !e.stale(t)
}

// stale reports whether the first owner is to send the record to the second anew.
func (e *entry) stale(t tick) bool {
	if !e.has(counted) {
		return false
	}
	return e.copied == 0 || t.since(e.renewed) > int32(refresh/time.Millisecond)
}

// record returns what is handed over of the entry.
func (e *entry) record(id ID) Record {
	return Record{ID: id, Server: e.server, ISN: e.isn, State: e.state, Work: e.work}
}

// short returns the short form of a member that entries keep; never 0.
func short(m MemberID) uint16 {
	return uint16(m>>48^m>>32^m>>16^m) | 1
}
