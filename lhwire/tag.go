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

// tagLabel parts the key of tags from other uses of a group's secret.
const tagLabel = "laburnumhollow relay tag"

// TagKey is the key of the tags in relay options. A tag covers the option and the
// ID of the flow, so that only who knows the group's secret can say something about
// a flow. It does not cover the inner packet, and does not tell a packet from its
// repetition. The zero TagKey writes no tags and accepts any.
type TagKey struct{ k0, k1 uint64 }

// NewTagKey returns the key of a group.
func NewTagKey(s lhflow.Seed) TagKey {
	k0, k1 := siphash.Hash128(s.K0, s.K1, []byte(tagLabel))
	return TagKey{k0: k0, k1: k1}
}

// AppendGeneve appends a Geneve packet with the given inner IP packet of a flow to
// dst. It adds the relay option, with its tag, when there is a sender or a relay.
func (k TagKey) AppendGeneve(
	dst, inner []byte, id lhflow.ID, sender lhflow.MemberID, relay lhflow.Relay,
) []byte {
	if sender == 0 && relay.Kind == lhflow.RelayNone {
		dst = appendHeader(dst, inner, 0, 0)
		return append(dst, inner...)
	}
	dst = appendHeader(dst, inner, optionHeaderSize+relaySize, criticalFlag)
	dst = appendRelay(dst, sender, relay)
	body := dst[len(dst)-tagOffset:]
	dst = binary.BigEndian.AppendUint64(dst, k.tag(body, id))
	return append(dst, inner...)
}

// Verify returns FaultTag for a packet whose relay option does not carry the tag of
// its flow. A packet without the option passes.
func (k TagKey) Verify(p *Packet, id lhflow.ID) Fault {
	if p.sender == 0 || k == (TagKey{}) {
		return FaultNone
	}
	if k.tag(p.option[:tagOffset], id) != binary.BigEndian.Uint64(p.option[tagOffset:]) {
		return FaultTag
	}
	return FaultNone
}

// tag returns the tag of an option's body; 0 for the zero key.
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
