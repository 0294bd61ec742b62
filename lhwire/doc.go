// Package lhwire encodes and decodes the packets that a VM forwards.
//
// Fabric, entry VMs and backend servers exchange inner IP packets encapsulated
// in Geneve (RFC 8926) over UDP. A packet that one group member relays to another
// also carries a relay option, which holds the ID of the relaying member and the
// lhflow.Relay that gives the purpose. The option is marked as critical, so that a
// receiver that doesn't know it drops the packet. AppendGeneve writes it only for
// relayed packets, so it never reaches a caller or a backend server. Because the
// source address of a UDP datagram can be forged, the option is authenticated by
// a tag that is computed with a TagKey.
//
// A Decoder decodes the payload of one UDP datagram into a Packet: a view of the
// inner packet and the header fields that forwarding decisions need. It is reused
// for successive datagrams and does not allocate:
//
//	var d lhwire.Decoder
//	p, fault := d.Decode(buf)
//	if fault != lhwire.FaultNone {
//		count(fault)
//		return
//	}
//	key := p.Key(lhflow.FromCaller)
//
// Every Packet belongs to a flow. An ICMP error quotes the packet that caused it
// and is treated as a packet of that flow in the opposite direction. A datagram
// that can't be assigned to a flow is reported as a Fault.
//
// Headers are decoded by gopacket, with two exceptions. Geneve options are decoded
// in place, because the library copies each one to the heap and computes their end
// in eight bits. The Geneve header is written field by field, because the caller
// of AppendGeneve owns the buffer that it is appended to.
//
// Replies that the load balancer generates itself, such as a reset, are rare, so
// the functions that build them allocate.
package lhwire
