package lhwire

import (
	"encoding/binary"

	"github.com/dchest/siphash"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Sizes in bytes.
const (
	tagSize   = 8
	idSize    = 16
	tagOffset = relaySize - tagSize
)

// tagLabel is the label for deriving the tag key from a group's secret. It
// separates the key from other uses of the secret.
const tagLabel = "laburnumhollow relay tag"

// TagKey is the key for the authentication tags of relay options. A tag covers the
// option and the ID of the flow, so that only holders of the group's secret can
// write a valid option for a flow. It does not cover the inner packet and does not
// protect against replay. The zero TagKey writes 0 as the tag and accepts any tag.
type TagKey struct{ k0, k1 uint64 }

// NewTagKey derives the tag key of a group from its secret.
func NewTagKey(s lhflow.Seed) TagKey {
	k0, k1 := siphash.Hash128(s.K0, s.K1, []byte(tagLabel))
	return TagKey{k0: k0, k1: k1}
}

// AppendGeneve appends a Geneve packet to dst that encapsulates an inner IP packet
// of the flow with the given ID. It adds a tagged relay option if the sender or the
// kind of relay is set.
func (k TagKey) AppendGeneve(
	dst, inner []byte, id lhflow.ID, sender lhflow.MemberID, relay lhflow.Relay,
) []byte {
	if sender == 0 && relay.Kind == lhflow.RelayNone {
		dst = appendHeader(dst, inner, 0, 0)
		return append(dst, inner...)
	}
	dst = appendHeader(dst, inner, optionHeaderSize+relaySize, criticalFlag)
	dst = appendRelayOption(dst, sender, relay)
	body := dst[len(dst)-tagOffset:]
	dst = binary.BigEndian.AppendUint64(dst, k.tag(body, id))
	return append(dst, inner...)
}

// Verify returns FaultTag if the tag of the packet's relay option does not match
// the flow with the given ID. A packet without the option is accepted.
func (k TagKey) Verify(p *Packet, id lhflow.ID) Fault {
	if p.sender == 0 || k == (TagKey{}) {
		return FaultNone
	}
	if k.tag(p.relayOption[:tagOffset], id) != binary.BigEndian.Uint64(p.relayOption[tagOffset:]) {
		return FaultTag
	}
	return FaultNone
}

// tag returns the tag for the body of a relay option, or 0 for the zero key.
func (k TagKey) tag(body []byte, id lhflow.ID) uint64 {
	if k == (TagKey{}) {
		return 0
	}
	var covered [tagOffset + idSize]byte
	copy(covered[:], body)
	binary.BigEndian.PutUint64(covered[tagOffset:], id.Hi)
	binary.BigEndian.PutUint64(covered[tagOffset+idSize/2:], id.Lo)
	return siphash.Hash(k.k0, k.k1, covered[:])
}
