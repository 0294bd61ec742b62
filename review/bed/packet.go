package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags of a packet.
const (
	flagSYN = 4
	flagFIN = 32
	flagRST = 64
	flagACK = 128
)

const (
	headSize   = 31
	targetSize = 8
	offsetEcho = 19
	maxPacket  = 1 << 16
)

// packet is one packet of a flow. The field pad of the platform's description has no bytes.
type packet struct {
	flags          byte
	sum            uint32
	src, dst       netip.AddrPort
	echo, seq, ack uint32
	data           []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet as a datagram.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	binary.BigEndian.PutUint16(b[1:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[3:], p.sum)
	binary.BigEndian.PutUint16(b[7:], p.src.Port())
	binary.BigEndian.PutUint16(b[9:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[11:], dst[:])
	copy(b[15:], src[:])
	binary.BigEndian.PutUint32(b[offsetEcho:], p.echo)
	binary.BigEndian.PutUint32(b[23:], p.seq)
	binary.BigEndian.PutUint32(b[27:], p.ack)
	return append(b, p.data...)
}

// sign sets the keyed sum, which covers all fields but echo.
func (p *packet) sign() *packet {
	p.sum = p.keyedSum()
	return p
}

func (p *packet) keyedSum() uint32 {
	c := *p
	c.sum, c.echo = 0, 0
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the two ends"))
	_, _ = h.Write(c.encode())
	return max(h.Sum32(), 1)
}

// decode returns the packet in a datagram, or false if there is none.
func decode(b []byte) (packet, bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[1:])) != len(b)-headSize {
		return packet{}, false
	}
	return packet{
		flags: b[0],
		sum:   binary.BigEndian.Uint32(b[3:]),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[15:19])), binary.BigEndian.Uint16(b[7:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[11:15])), binary.BigEndian.Uint16(b[9:])),
		echo:  binary.BigEndian.Uint32(b[offsetEcho:]),
		seq:   binary.BigEndian.Uint32(b[23:]),
		ack:   binary.BigEndian.Uint32(b[27:]),
		data:  append([]byte(nil), b[headSize:]...),
	}, true
}
