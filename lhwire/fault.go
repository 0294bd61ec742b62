package lhwire

// Fault is why a datagram was not accepted as a packet; each has a counter.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	// FaultTruncated is a datagram that ends within a header.
	FaultTruncated
	// FaultLength is a length field that disagrees with the datagram.
	FaultLength
	// FaultVersion is an unknown version of Geneve or IP.
	FaultVersion
	// FaultForeign is a Geneve packet of another network, or one that carries no IP.
	FaultForeign
	// FaultOption is a critical Geneve option that is unknown, or a malformed one.
	FaultOption
	// FaultHeader is a malformed IP, transport or ICMP header.
	FaultHeader
	// FaultChecksum is an IPv4 header with a wrong checksum.
	FaultChecksum
	// FaultAddress is an address that no caller or service can have.
	FaultAddress
	// FaultProtocol is an inner packet other than TCP, UDP or an ICMP error.
	FaultProtocol
	// FaultFragment is a fragment, which does not show its flow.
	FaultFragment
	// FaultHopLimit is a packet that has been forwarded too often.
	FaultHopLimit
	// FaultTag is a relay option that no member of the group has written for the flow.
	FaultTag
	// FaultCount is the number of faults.
	FaultCount
)

// String returns the name of the fault's counter.
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
