package lhwire

// Fault is the reason why a datagram was rejected. Each fault has a counter.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	// FaultTruncated: the datagram ends within a header.
	FaultTruncated
	// FaultLength: a length field disagrees with the size of the datagram.
	FaultLength
	// FaultVersion: the Geneve or IP version is unknown.
	FaultVersion
	// FaultForeign: the Geneve packet is a control (OAM) packet, belongs to another
	// virtual network, or does not carry IP.
	FaultForeign
	// FaultOption: a critical Geneve option is unknown, or an option is malformed.
	FaultOption
	// FaultHeader: an IP, transport or ICMP header is malformed.
	FaultHeader
	// FaultChecksum: the checksum of the IPv4 header is wrong.
	FaultChecksum
	// FaultAddress: an address is not valid for a caller or a service.
	FaultAddress
	// FaultProtocol: the inner packet is not TCP, UDP or an ICMP error.
	FaultProtocol
	// FaultFragment: the packet is a fragment, which can't be assigned to a flow.
	FaultFragment
	// FaultHopLimit: the TTL or hop limit is exhausted.
	FaultHopLimit
	// FaultTag: the relay option was not written by a member of the group for this
	// flow.
	FaultTag
	// FaultCount is the number of faults.
	FaultCount
)

// String returns the name that the fault has in counters.
func (f Fault) String() string {
	names := [FaultCount]string{
		"none", "truncated", "length", "version", "foreign", "option", "header",
		"checksum", "address", "protocol", "fragment", "hop-limit", "tag",
	}
	if f >= FaultCount {
		return "unknown"
	}
	return names[f]
}
