// Package lhwire reads and writes the packets that a VM forwards.
//
// Fabric, entry VMs and backend servers hand inner IP packets to each other in
// Geneve (RFC 8926) over UDP. A packet that a member passes on to another member
// of its group carries one Geneve option more: who passed it on, and the
// lhflow.Relay that says why. The option is marked as critical, so that a
// receiver that doesn't know it drops the packet; it never reaches a caller or a
// backend server, because AppendGeneve writes it only when asked to. The source
// address of a UDP datagram can be forged, so the option carries a tag by a TagKey.
//
// A Decoder turns the payload of one UDP datagram into a Packet: a view of the
// inner packet with the few values that decisions look at. It is reused from one
// datagram to the next and allocates nothing:
//
//	var d lhwire.Decoder
//	p, fault := d.Decode(buf)
//	if fault != lhwire.FaultNone {
//		count(fault)
//		return
//	}
//	key := p.Key(lhflow.FromCaller)
//
// A Packet belongs to a flow, also when it is an ICMP error: an error quotes the
// packet that it is about, and counts as a packet of that packet's flow in the
// opposite direction. Whatever belongs to no flow ends in a Fault.
//
// The headers are decoded by gopacket. Two things are done here instead. Geneve
// options are read in place, because the library copies each one to the heap and
// computes their end in eight bits. The Geneve header is written field by field,
// because the caller owns the buffer to which it is appended.
//
// Replies that the balancer itself gives, such as a reset, are rare; the
// functions that build them allocate.
package lhwire
