package lhflow

import (
	"math/bits"
	"sync"
	"time"
)

// shardCount is the number of parts of the table, each under its own lock.
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
	firstSlots = 16
	// A shard grows by a fifth when more than five sixths of its slots are taken,
	// so that at least 69% are.
	growNum, growDen = 6, 5
	fullNum, fullDen = 5, 6
)

// shard is a part of the table: an array of slots in which a record stands at the
// place that its ID gives, or in the first free slot after it. Go's map would take
// twice the memory for records of this size.
type shard struct {
	mu sync.Mutex
	// slots is nil until the first record is stored; at least a sixth are free.
	slots []slot
	// count is the number of slots that are taken.
	count int
	// _ keeps the locks of two shards out of one cache line.
	_ [24]byte
}

// slot holds one record. It is free while its entry's server is 0. The words of
// the ID are parted in two, which saves the padding of 64-bit words.
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

// home returns the slot where an ID's record stands if no other is in its way.
func (s *shard) home(id ID) int {
	hi, _ := bits.Mul64(id.Lo<<6, uint64(len(s.slots)))
	return int(hi)
}

func (s *shard) after(i int) int {
	if i++; i < len(s.slots) {
		return i
	}
	return 0
}

// find returns the record of an ID, or nil. It is valid until the next put or
// remove, while the lock is held.
func (s *shard) find(id ID) *entry {
	if s.count == 0 {
		return nil
	}
	sought := words(id)
	for i := s.home(id); s.slots[i].server != 0; i = s.after(i) {
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
	i := s.home(id)
	for s.slots[i].server != 0 {
		i = s.after(i)
	}
	s.slots[i] = newSlot(id, en)
}

func (s *shard) grow() {
	old := s.slots
	s.slots = make([]slot, max(firstSlots, len(old)*growNum/growDen))
	for i := range old {
		if old[i].server != 0 {
			s.insert(old[i].id(), old[i].entry)
		}
	}
}

// remove removes the record of an ID and reports whether there was one. The
// records behind it close the gap, so that none is cut off from its place.
func (s *shard) remove(id ID) bool {
	if s.find(id) == nil {
		return false
	}
	gap := s.home(id)
	for s.slots[gap].id() != id {
		gap = s.after(gap)
	}
	for i := s.after(gap); s.slots[i].server != 0; i = s.after(i) {
		if s.distance(s.home(s.slots[i].id()), i) >= s.distance(gap, i) {
			s.slots[gap] = s.slots[i]
			gap = i
		}
	}
	s.slots[gap] = slot{}
	s.count--
	return true
}

// distance returns how many slots b lies after a.
func (s *shard) distance(a, b int) int {
	if b >= a {
		return b - a
	}
	return b - a + len(s.slots)
}

// each calls f with every record. f may change the record but not the shard.
func (s *shard) each(f func(ID, *entry)) {
	for i := range s.slots {
		if s.slots[i].server != 0 {
			f(s.slots[i].id(), &s.slots[i].entry)
		}
	}
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
	// aged is set once the record was copied after the flow was open: placed does
	// not say any more when it began.
	aged
)

// RecordBytes is what a record takes in the table at most, in bytes.
const RecordBytes = 64

// entry is the record of a flow in the table. It holds no pointer and is kept
// small, for a VM holds hundreds of thousands.
type entry struct {
	// server is the number of the backend server that holds the flow; never 0.
	server uint32
	// isn is the initial sequence number of the caller's SYN; 0 for UDP.
	isn uint32
	// seen is when this VM last saw a packet of the flow.
	seen tick
	// placed is when the record was placed or last copied.
	placed tick
	// lease is when a lease on the record ends: the VM's own where the entry is
	// not owned, the latest that it has granted where it is. Until the server's
	// first answer the first owner keeps here when the caller first sent data.
	lease tick
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

// precedes reports whether a sequence number of the caller belongs to an earlier
// flow of the same port, whose packets may still arrive for some time.
func (e *entry) precedes(seq uint32, t tick) bool {
	if e.marks&(datagram|aged) != 0 || t.after(e.placed) > lateLife {
		return false
	}
	return e.isn-seq < lateWindow
}

// renew notes that the record is copied at time t. Copies that a flow leaves as it
// opens don't count, for late packets of the port's earlier flow come just then.
func (e *entry) renew(t tick) {
	if t.after(e.placed) <= lateLife {
		return
	}
	e.placed = t
	if e.state >= Open {
		e.marks |= aged
	}
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
	return e.copied == 0 || t.since(e.placed) > int32(refresh/time.Millisecond)
}

// record returns what is handed over of the entry.
func (e *entry) record(id ID) Record {
	return Record{ID: id, Server: e.server, ISN: e.isn, State: e.state, Work: e.work}
}

// short returns the short form of a member that entries keep; never 0.
func short(m MemberID) uint16 {
	return uint16(m>>48^m>>32^m>>16^m) | 1
}
