package lhwire

import (
	"encoding/binary"

	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Sizes in bytes.
const (
	geneveHeaderSize = 8
	optionHeaderSize = 4
	relaySize        = 44
	// Overhead is the encapsulation overhead of packets that are not relayed.
	Overhead = geneveHeaderSize
	// RelayOverhead is the encapsulation overhead of packets relayed between members.
	RelayOverhead = geneveHeaderSize + optionHeaderSize + relaySize
)

// Fields of the Geneve header (RFC 8926, section 3.4).
const (
	versionShift  = 6
	optionLenMask = 0x3f
	optionUnit    = 4
	criticalFlag  = 0x40
	oamFlag       = 0x80
)

// Fields of a Geneve option. The class is in the range for experimental use. The
// high bit of the type marks an option as critical.
const (
	relayClass         = 0xff4c
	relayType          = criticalType | 1
	criticalType       = 0x80
	optionBodyLenMask  = 0x1f
	optionReservedMask = 0xe0
)

// AppendGeneve is like TagKey.AppendGeneve with the zero TagKey.
func AppendGeneve(dst, inner []byte, sender lhflow.MemberID, relay lhflow.Relay) []byte {
	return TagKey{}.AppendGeneve(dst, inner, lhflow.ID{}, sender, relay)
}

func appendHeader(dst, inner []byte, optionSize, flags byte) []byte {
	protocol := layers.EthernetTypeIPv4
	if len(inner) > 0 && inner[0]>>4 == 6 {
		protocol = layers.EthernetTypeIPv6
	}
	dst = append(dst, optionSize/optionUnit, flags)
	dst = binary.BigEndian.AppendUint16(dst, uint16(protocol))
	return binary.BigEndian.AppendUint32(dst, 0)
}

// appendRelayOption appends a relay option without its tag.
func appendRelayOption(dst []byte, sender lhflow.MemberID, r lhflow.Relay) []byte {
	dst = binary.BigEndian.AppendUint16(dst, relayClass)
	dst = append(dst, relayType, relaySize/optionUnit)
	dst = binary.BigEndian.AppendUint64(dst, uint64(sender))
	dst = binary.BigEndian.AppendUint64(dst, uint64(r.Origin))
	dst = binary.BigEndian.AppendUint32(dst, r.Stamp)
	dst = binary.BigEndian.AppendUint32(dst, r.Server)
	dst = binary.BigEndian.AppendUint32(dst, r.ISN)
	dst = binary.BigEndian.AppendUint16(dst, r.Work)
	dst = append(dst, byte(r.Kind), r.Hops, r.Attempt, byte(r.State))
	return append(dst, byte(r.Source), 0)
}

// decodeOptions decodes the relay option among the Geneve options. Unknown options
// are skipped unless they are critical.
func (p *Packet) decodeOptions(options []byte) Fault {
	for len(options) > 0 {
		if len(options) < optionHeaderSize {
			return FaultOption
		}
		size := optionHeaderSize + int(options[3]&optionBodyLenMask)*optionUnit
		if size > len(options) {
			return FaultOption
		}
		if f := p.decodeOption(options[:size]); f != FaultNone {
			return f
		}
		options = options[size:]
	}
	return FaultNone
}

func (p *Packet) decodeOption(option []byte) Fault {
	class, kind := binary.BigEndian.Uint16(option), option[2]
	if class != relayClass || kind != relayType {
		if kind&criticalType != 0 {
			return FaultOption
		}
		return FaultNone
	}
	if len(option) != optionHeaderSize+relaySize || p.sender != 0 {
		return FaultOption
	}
	return p.decodeRelay(option[optionHeaderSize:])
}

func (p *Packet) decodeRelay(body []byte) Fault {
	p.relayOption = body
	p.sender = lhflow.MemberID(binary.BigEndian.Uint64(body))
	p.relay = lhflow.Relay{
		Origin:  lhflow.MemberID(binary.BigEndian.Uint64(body[8:])),
		Stamp:   binary.BigEndian.Uint32(body[16:]),
		Server:  binary.BigEndian.Uint32(body[20:]),
		ISN:     binary.BigEndian.Uint32(body[24:]),
		Work:    binary.BigEndian.Uint16(body[28:]),
		Kind:    lhflow.RelayKind(body[30]),
		Hops:    body[31],
		Attempt: body[32],
		State:   lhflow.State(body[33]),
		Source:  lhflow.Source(body[34]),
	}
	if p.sender == 0 || p.relay.Kind > lhflow.RelayLookup || p.relay.State > lhflow.Closed ||
		p.relay.Source > lhflow.FromServer {
		return FaultOption
	}
	return FaultNone
}
