package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The flags of a packet.
const (
	flagSYN = 4
	flagFIN = 32
	flagRST = 64
	flagACK = 128
)

const (
	headSize   = 31
	targetSize = 8
	// maxData is the largest amount of data in a packet, in bytes.
	maxData = 1200
	// resetWindow is the distance from the last acknowledgement within which the sequence
	// number of a reset of the system has to be.
	resetWindow = 76_800
)

// packet is one packet of a flow.
type packet struct {
	flags          byte
	sum            uint32
	src, dst       netip.AddrPort
	echo, seq, ack uint32
	data           []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// end returns the sequence number after the packet.
func (p *packet) end() uint32 {
	n := uint32(len(p.data))
	if p.has(flagFIN) || p.has(flagSYN) {
		n++
	}
	return p.seq + n
}

// encode returns the packet with the sum of its sender.
func (p *packet) encode() []byte {
	b := p.head()
	binary.BigEndian.PutUint32(b[3:], p.expectedSum())
	binary.BigEndian.PutUint32(b[19:], p.echo)
	return append(b, p.data...)
}

// head returns the header with the sum and the echo 0.
func (p *packet) head() []byte {
	b := make([]byte, headSize)
	b[0] = p.flags
	binary.BigEndian.PutUint16(b[1:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[7:], p.src.Port())
	binary.BigEndian.PutUint16(b[9:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[11:], dst[:])
	copy(b[15:], src[:])
	binary.BigEndian.PutUint32(b[23:], p.seq)
	binary.BigEndian.PutUint32(b[27:], p.ack)
	return b
}

// expectedSum returns the keyed sum over all fields but the echo. It is never 0.
func (p *packet) expectedSum() uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write([]byte("key of the stand-ins"))
	_, _ = h.Write(p.head())
	_, _ = h.Write(p.data)
	return max(h.Sum32(), 1)
}

// genuine reports whether the packet is as its sender wrote it.
func (p *packet) genuine() bool { return p.sum == p.expectedSum() }

// decode decodes a packet. It returns false if the datagram is not one.
func decode(b []byte) (*packet, bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[1:])) {
		return nil, false
	}
	address := func(at, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[at:at+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return &packet{
		flags: b[0], sum: binary.BigEndian.Uint32(b[3:]), src: address(15, 7), dst: address(11, 9),
		echo: binary.BigEndian.Uint32(b[19:]), seq: binary.BigEndian.Uint32(b[23:]), ack: binary.BigEndian.Uint32(b[27:]),
		data: append([]byte(nil), b[headSize:]...),
	}, true
}
