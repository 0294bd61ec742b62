package lhflow

import (
	"math/bits"
	"sync"
	"time"
)

// shardCount is the number of shards of the table, each with its own lock.
const shardCount = 64

// table holds the records of one VM in shards.
type table struct {
	shards [shardCount]shard
}

func (t *table) shard(id ID) *shard {
	return &t.shards[id.Lo>>58]
}

// Sizes of a shard's array of slots.
const (
	initialSlots = 16
	// A shard grows by a fifth when more than five sixths of its slots are used, so
	// that at least 69% are used.
	growNum, growDen = 6, 5
	fullNum, fullDen = 5, 6
)

// shard is a part of the table: an open-addressing hash table with linear probing.
// Go's map would need twice the memory for records of this size.
type shard struct {
	mu sync.Mutex
	// slots is nil until the first record is stored; at least a sixth of it is
	// free.
	slots []slot
	// count is the number of used slots.
	count int
	// _ keeps the locks of adjacent shards in separate cache lines.
	_ [24]byte
}

// slot holds one record. It is free if the entry's server is 0. The ID is stored in
// 32-bit words to avoid the padding that 64-bit alignment would add.
type slot struct {
	words [4]uint32
	entry
}

func newSlot(id ID, en entry) slot {
	return slot{words: words(id), entry: en}
}

func (s *slot) id() ID {
	w := &s.words
	return ID{Hi: uint64(w[0])<<32 | uint64(w[1]), Lo: uint64(w[2])<<32 | uint64(w[3])}
}

func words(id ID) [4]uint32 {
	return [4]uint32{uint32(id.Hi >> 32), uint32(id.Hi), uint32(id.Lo >> 32), uint32(id.Lo)}
}

// homeSlot returns the index at which probing for an ID starts.
func (s *shard) homeSlot(id ID) int {
	hi, _ := bits.Mul64(id.Lo<<6, uint64(len(s.slots)))
	return int(hi)
}

func (s *shard) nextSlot(i int) int {
	if i++; i < len(s.slots) {
		return i
	}
	return 0
}

// find returns the record of an ID, or nil. The pointer is valid until the next put
// or remove, while the lock is held.
func (s *shard) find(id ID) *entry {
	if s.count == 0 {
		return nil
	}
	sought := words(id)
	for i := s.homeSlot(id); s.slots[i].server != 0; i = s.nextSlot(i) {
		if s.slots[i].words == sought {
			return &s.slots[i].entry
		}
	}
	return nil
}

// get returns a copy of the record of an ID.
func (s *shard) get(id ID) (entry, bool) {
	if en := s.find(id); en != nil {
		return *en, true
	}
	return entry{}, false
}

// put stores a record and reports whether the ID had none.
func (s *shard) put(id ID, en entry) bool {
	if old := s.find(id); old != nil {
		*old = en
		return false
	}
	if (s.count+1)*fullDen > len(s.slots)*fullNum {
		s.grow()
	}
	s.insert(id, en)
	s.count++
	return true
}

func (s *shard) insert(id ID, en entry) {
	i := s.homeSlot(id)
	for s.slots[i].server != 0 {
		i = s.nextSlot(i)
	}
	s.slots[i] = newSlot(id, en)
}

func (s *shard) grow() {
	old := s.slots
	s.slots = make([]slot, max(initialSlots, len(old)*growNum/growDen))
	for i := range old {
		if old[i].server != 0 {
			s.insert(old[i].id(), old[i].entry)
		}
	}
}

// remove removes the record of an ID and reports whether there was one. It shifts
// the following records back into the gap, so that probing still finds them.
func (s *shard) remove(id ID) bool {
	if s.find(id) == nil {
		return false
	}
	gap := s.homeSlot(id)
	for s.slots[gap].id() != id {
		gap = s.nextSlot(gap)
	}
	for i := s.nextSlot(gap); s.slots[i].server != 0; i = s.nextSlot(i) {
		if s.distance(s.homeSlot(s.slots[i].id()), i) >= s.distance(gap, i) {
			s.slots[gap] = s.slots[i]
			gap = i
		}
	}
	s.slots[gap] = slot{}
	s.count--
	return true
}

// distance returns the number of slots from a to b, with wrap-around.
func (s *shard) distance(a, b int) int {
	if b >= a {
		return b - a
	}
	return b - a + len(s.slots)
}

// each calls f for every record. f may modify the record but not the shard.
func (s *shard) each(f func(ID, *entry)) {
	for i := range s.slots {
		if s.slots[i].server != 0 {
			f(s.slots[i].id(), &s.slots[i].entry)
		}
	}
}

// tick is a VM's monotonic time in milliseconds; it wraps around after 49 days.
type tick uint32

func ticks(d time.Duration) tick { return tick(d / time.Millisecond) }

// millisSince returns the milliseconds from u to t; negative if u is later.
func (t tick) millisSince(u tick) int32 { return int32(t - u) }

// sub returns the duration t-u.
func (t tick) sub(u tick) time.Duration {
	return time.Duration(t.millisSince(u)) * time.Millisecond
}

// entryFlag is a boolean property of an entry.
type entryFlag uint8

const (
	// owned is set on an owner's record, which is valid without a lease.
	owned entryFlag = 1 << iota
	// counted is set while the flow counts against this VM's share of the limits.
	counted
	// callerFIN and serverFIN are set when that end has sent FIN.
	callerFIN
	serverFIN
	// datagram is set for UDP.
	datagram
	// responded is set when the server has sent data.
	responded
	// unanswered is set when the unanswered SYN has been reported.
	unanswered
	// startUnknown is set when the record was copied after the flow was open, so
	// that placedAt is not the start of the flow.
	startUnknown
)

// RecordBytes is the maximum size of a record in the table, in bytes.
const RecordBytes = 64

// entry is the record of a flow in the table. It contains no pointers and is kept
// small, because a VM holds hundreds of thousands.
type entry struct {
	// server is the number of the flow's backend server; never 0.
	server uint32
	// isn is the initial sequence number of the caller's SYN; 0 for UDP.
	isn uint32
	// lastSeen is when this VM last received a packet of the flow.
	lastSeen tick
	// placedAt is when the record was placed or last copied.
	placedAt tick
	// leaseEnd is the expiry of a lease on the record: the VM's own if the entry is
	// not owned, otherwise the latest that it has granted. Until the server's first
	// response the first owner stores here when the caller first sent data.
	leaseEnd tick
	// copiedTo is the short ID of the member that the record was last copied to.
	copiedTo uint16
	// work is the number of the flow's kind of work.
	work  uint16
	state State
	flags entryFlag
	// relayedPackets counts the packets that peers have relayed, up to its maximum
	// value.
	relayedPackets uint8
	// attempt counts the servers tried, starting at 1.
	attempt uint8
}

func (e *entry) has(flag entryFlag) bool { return e.flags&flag != 0 }

// valid reports whether the entry may be used for decisions at time t.
func (e *entry) valid(t tick) bool {
	return e.has(owned) || e.leaseEnd.millisSince(t) > 0
}

// isEarlierSeq reports whether a sequence number of the caller belongs to an
// earlier flow from the same port, whose packets may still arrive for some time.
func (e *entry) isEarlierSeq(seq uint32, t tick) bool {
	if e.flags&(datagram|startUnknown) != 0 || t.sub(e.placedAt) > latePacketTTL {
		return false
	}
	return e.isn-seq < lateSeqWindow
}

// markCopied records that the entry is copied at time t. Copies made while the flow
// opens don't count, because late packets of the port's earlier flow arrive just
// then.
func (e *entry) markCopied(t tick) {
	if t.sub(e.placedAt) <= latePacketTTL {
		return
	}
	e.placedAt = t
	if e.state >= Open {
		e.flags |= startUnknown
	}
}

// ownerDone reports whether the first owner has no work left for the flow: the
// server has responded and the second owner's copy is current.
func (e *entry) ownerDone(t tick) bool {
	return !e.has(counted) || e.has(responded) && !e.copyStale(t)
}

// copyStale reports whether the first owner must send the record to the second
// again.
func (e *entry) copyStale(t tick) bool {
	if !e.has(counted) {
		return false
	}
	return e.copiedTo == 0 || t.millisSince(e.placedAt) > int32(copyRefresh/time.Millisecond)
}

// record returns the part of the entry that is handed over.
func (e *entry) record(id ID) Record {
	return Record{ID: id, Server: e.server, ISN: e.isn, State: e.state, Work: e.work}
}

// shortID returns the 16-bit form of a member ID that entries store; never 0.
func shortID(m MemberID) uint16 {
	return uint16(m>>48^m>>32^m>>16^m) | 1
}
