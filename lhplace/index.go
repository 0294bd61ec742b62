package lhplace

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// mixFactor and saltFactor are odd factors that carry low bits of a key to high ones.
const (
	mixFactor  = 0x9e3779b97f4a7c15
	saltFactor = 0xbf58476d1ce4e5b9
)

// hashIndex maps the hashes of keys to positions in a list. It is a hash table with
// linear probing that does not store the keys. The zero value is empty.
type hashIndex struct {
	// slots holds positions plus one, and 0 in an empty slot. Its length is a power
	// of two, and at most half of it is filled.
	slots []uint32
}

// newHashIndex returns an index with room for capacity positions.
func newHashIndex(capacity int) hashIndex {
	return hashIndex{slots: make([]uint32, 1<<bits.Len(uint(2*capacity)))}
}

// lookup returns the position in the slot of a hash. To find a key, increment the
// hash until the position is that of the key or ok is false.
func (x hashIndex) lookup(hash uint64) (position int, ok bool) {
	if len(x.slots) == 0 {
		return 0, false
	}
	slot := x.slots[hash&uint64(len(x.slots)-1)]
	return int(slot) - 1, slot != 0
}

// put stores a position and replaces one that has the same key. It returns the
// position that it replaced.
func (x hashIndex) put(hash uint64, position int, same func(position int) bool) (previous int, replaced bool) {
	for ; ; hash++ {
		previous, ok := x.lookup(hash)
		if ok && !same(previous) {
			continue
		}
		x.slots[hash&uint64(len(x.slots)-1)] = uint32(position + 1)
		return previous, ok
	}
}

// mix distributes the bits of a key over a hash.
func mix(key uint64) uint64 {
	key = (key ^ key>>32) * mixFactor
	return key ^ key>>32
}

func hashNumber(number uint32) uint64 { return mix(uint64(number)) }

func hashBytes(address [16]byte, salt uint64) uint64 {
	high, low := binary.BigEndian.Uint64(address[:8]), binary.BigEndian.Uint64(address[8:])
	return mix(high*mixFactor ^ low ^ salt*saltFactor)
}

func hashEndpoint(address [16]byte, port uint16, proto lhflow.Proto) uint64 {
	return hashBytes(address, uint64(proto)<<16|uint64(port))
}

func hashSource(s *Service, a netip.Addr) uint64 {
	return hashBytes(a.As16(), uint64(s.index+1))
}

func hashHost(a netip.Addr) uint64 { return hashBytes(a.As16(), 0) }
