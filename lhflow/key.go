package lhflow

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"
)

// Proto is the IP protocol number of a flow.
type Proto uint8

// The supported protocols.
const (
	TCP Proto = 6
	UDP Proto = 17
)

// String returns the name used in settings, "tcp" or "udp".
func (p Proto) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return "unknown"
}

// Key is the 5-tuple of a flow in the direction from caller to service: packets
// from a backend server have the same Key as those from the caller. It contains no
// pointers.
type Key struct {
	// Caller is the caller's address; IPv4 in its 16-byte mapped form.
	Caller [16]byte
	// Service is the service's address; IPv4 in its 16-byte mapped form.
	Service     [16]byte
	CallerPort  uint16
	ServicePort uint16
	Proto       Proto
}

// NewKey returns the Key of a flow from caller to service.
func NewKey(p Proto, caller, service netip.AddrPort) Key {
	return Key{
		Caller:      caller.Addr().As16(),
		Service:     service.Addr().As16(),
		CallerPort:  caller.Port(),
		ServicePort: service.Port(),
		Proto:       p,
	}
}

// CallerAddr returns the caller's address and port.
func (k Key) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Caller).Unmap(), k.CallerPort)
}

// ServiceAddr returns the service's address and port.
func (k Key) ServiceAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Service).Unmap(), k.ServicePort)
}

// ID identifies a flow within a group of VMs: 128 bits of a keyed hash of its Key.
type ID struct{ Hi, Lo uint64 }

// Seed is the hash key that all VMs of a group share. It is secret, so that callers
// can't choose the owner or the backend server of their flows.
type Seed struct{ K0, K1 uint64 }

// ID returns the flow's ID under seed s.
func (s Seed) ID(k Key) ID {
	var b [37]byte
	copy(b[:16], k.Caller[:])
	copy(b[16:32], k.Service[:])
	binary.LittleEndian.PutUint16(b[32:], k.CallerPort)
	binary.LittleEndian.PutUint16(b[34:], k.ServicePort)
	b[36] = byte(k.Proto)
	hi, lo := siphash.Hash128(s.K0, s.K1, b[:])
	return ID{Hi: hi, Lo: lo}
}
