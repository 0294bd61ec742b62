package lhplace

import (
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// spread and saltSpread are odd factors that carry low bits of a key to high ones.
const (
	spread     = 0x9e3779b97f4a7c15
	saltSpread = 0xbf58476d1ce4e5b9
)

// index finds places in a list by the hashes of keys: a hash table with linear
// probing, which holds no keys. The zero index is empty.
type index struct {
	// slots holds places plus one, and 0 where there is none. Its length is a power
	// of two, and at most half of it is filled.
	slots []uint32
}

// newIndex returns an index with room for a number of places.
func newIndex(places int) index {
	return index{slots: make([]uint32, 1<<bits.Len(uint(2*places)))}
}

// at returns the place in the slot of a hash. Whoever looks for a key goes on
// with the next higher hash until a place is that of the key or there is none.
func (x index) at(hash uint64) (place int, ok bool) {
	if len(x.slots) == 0 {
		return 0, false
	}
	slot := x.slots[hash&uint64(len(x.slots)-1)]
	return int(slot) - 1, slot != 0
}

// put enters a place, in the stead of one that has the same key. It returns the
// place that had it before.
func (x index) put(hash uint64, place int, same func(place int) bool) (before int, replaced bool) {
	for ; ; hash++ {
		before, ok := x.at(hash)
		if ok && !same(before) {
			continue
		}
		x.slots[hash&uint64(len(x.slots)-1)] = uint32(place + 1)
		return before, ok
	}
}

// mix spreads the bits of a key over a hash.
func mix(key uint64) uint64 {
	key = (key ^ key>>32) * spread
	return key ^ key>>32
}

func hashNumber(number uint32) uint64 { return mix(uint64(number)) }

func hashBytes(address [16]byte, salt uint64) uint64 {
	high, low := binary.BigEndian.Uint64(address[:8]), binary.BigEndian.Uint64(address[8:])
	return mix(high*spread ^ low ^ salt*saltSpread)
}

func hashEndpoint(address [16]byte, port uint16, proto lhflow.Proto) uint64 {
	return hashBytes(address, uint64(proto)<<16|uint64(port))
}

func hashSource(s *Service, a netip.Addr) uint64 {
	return hashBytes(a.As16(), uint64(s.index+1))
}

func hashHost(a netip.Addr) uint64 { return hashBytes(a.As16(), 0) }
