package lhpeer

import (
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

// encodeMessage converts a message to its Protobuf form.
func encodeMessage(m Message) *lhpeerv1.Message {
	entries := make([]*lhpeerv1.Entry, 0, len(m.Entries))
	for _, e := range m.Entries {
		entries = append(entries, encodeEntry(e))
	}
	return &lhpeerv1.Message{
		From:           uint64(m.From),
		To:             uint64(m.To),
		Target:         uint64(m.Target),
		Reached:        m.Reached,
		Digest:         m.Digest,
		Sync:           m.Sync,
		After:          uint64(m.After),
		Revision:       m.Revision.Number,
		RevisionDigest: m.Revision.Digest,
		HandedOver:     m.HandedOver,
		Entries:        entries,
	}
}

// decodeMessage converts a message from its Protobuf form. Invalid entries are
// skipped.
func decodeMessage(w *lhpeerv1.Message) Message {
	m := Message{
		From:       lhflow.MemberID(w.GetFrom()),
		To:         lhflow.MemberID(w.GetTo()),
		Target:     lhflow.MemberID(w.GetTarget()),
		Reached:    w.GetReached(),
		Digest:     w.GetDigest(),
		Sync:       w.GetSync(),
		After:      lhflow.MemberID(w.GetAfter()),
		Revision:   Revision{Number: w.GetRevision(), Digest: w.GetRevisionDigest()},
		HandedOver: w.GetHandedOver(),
	}
	for _, e := range w.GetEntries() {
		if entry, ok := decodeEntry(e); ok {
			m.Entries = append(m.Entries, entry)
		}
	}
	return m
}

func encodeEntry(e Entry) *lhpeerv1.Entry {
	return &lhpeerv1.Entry{
		Id:         uint64(e.ID),
		State:      uint32(e.State),
		Health:     uint32(e.Health),
		Refutation: e.Refutation,
		Name:       e.Name,
		DataCentre: e.DataCentre,
		Data:       encodeAddress(e.Data),
		Control:    encodeAddress(e.Control),
	}
}

func decodeEntry(w *lhpeerv1.Entry) (Entry, bool) {
	data, dataOK := decodeAddress(w.GetData())
	control, controlOK := decodeAddress(w.GetControl())
	known := w.GetState() <= uint32(lhflow.Gone) && w.GetHealth() <= uint32(Dead)
	if !dataOK || !controlOK || !control.IsValid() || !known || w.GetId() == 0 {
		return Entry{}, false
	}
	return Entry{
		Member: lhflow.Member{
			ID:         lhflow.MemberID(w.GetId()),
			Name:       w.GetName(),
			DataCentre: w.GetDataCentre(),
			Data:       data,
			Control:    control,
			State:      lhflow.MemberState(w.GetState()),
		},
		Health:     Health(w.GetHealth()),
		Refutation: w.GetRefutation(),
	}, true
}

// encodeAddress returns the IP address and port as bytes, or nil for the zero
// address.
func encodeAddress(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	// MarshalBinary appends the port in little-endian order; it never returns an
	// error.
	b, _ := a.MarshalBinary()
	return b
}

// decodeAddress decodes an address and reports whether b is valid. An empty b is
// valid and gives the zero address.
func decodeAddress(b []byte) (netip.AddrPort, bool) {
	var a netip.AddrPort
	if len(b) == 0 {
		return a, true
	}
	err := a.UnmarshalBinary(b)
	return a, err == nil
}
