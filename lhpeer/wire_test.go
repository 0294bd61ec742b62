package lhpeer

import (
	"cmp"
	"net/netip"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

func drawAddress(t *rapid.T, label string) netip.AddrPort {
	bytes := rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label)
	addr := netip.AddrFrom16([16]byte(bytes))
	if rapid.Bool().Draw(t, label+" IPv4") {
		addr = netip.AddrFrom4([4]byte(bytes[:4]))
	}
	return netip.AddrPortFrom(addr, rapid.Uint16().Draw(t, label+" port"))
}

func drawEntry(t *rapid.T) Entry {
	return Entry{
		Member: lhflow.Member{
			ID:         lhflow.MemberID(rapid.Uint64Min(1).Draw(t, "id")),
			Name:       rapid.StringMatching(`[a-z0-9-]{0,12}`).Draw(t, "name"),
			DataCentre: rapid.SampledFrom(hokkaido).Draw(t, "data centre"),
			Data:       drawAddress(t, "data"),
			Control:    drawAddress(t, "control"),
			State:      lhflow.MemberState(rapid.IntRange(0, int(lhflow.Gone)).Draw(t, "state")),
		},
		Health:     Health(rapid.IntRange(0, int(Dead)).Draw(t, "health")),
		Refutation: rapid.Uint32Max(3).Draw(t, "refutation"),
	}
}

func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{
			From:       lhflow.MemberID(rapid.Uint64().Draw(t, "from")),
			To:         lhflow.MemberID(rapid.Uint64().Draw(t, "to")),
			Target:     lhflow.MemberID(rapid.Uint64().Draw(t, "target")),
			Reached:    rapid.Bool().Draw(t, "reached"),
			Digest:     rapid.Uint64().Draw(t, "digest"),
			Sync:       rapid.Bool().Draw(t, "sync"),
			After:      lhflow.MemberID(rapid.Uint64().Draw(t, "after")),
			Revision:   Revision{Number: rapid.Uint64().Draw(t, "revision"), Digest: rapid.Uint64().Draw(t, "digest")},
			HandedOver: rapid.Bool().Draw(t, "handed over"),
		}
		for range rapid.IntRange(0, 5).Draw(t, "entries") {
			m.Entries = append(m.Entries, drawEntry(t))
		}
		assert.DeepEqual(t, decodeMessage(encodeMessage(m)), m, cmpopts.EquateComparable(netip.AddrPort{}))
	})
}

func TestInvalidEntriesAreSkipped(t *testing.T) {
	good := func() *lhpeerv1.Entry {
		return encodeEntry(Entry{Member: lhflow.Member{ID: 1, Control: netip.MustParseAddrPort("10.0.0.1:1")}})
	}
	cases := []struct {
		name    string
		corrupt func(e *lhpeerv1.Entry)
	}{
		{"no ID", func(e *lhpeerv1.Entry) { e.Id = 0 }},
		{"unknown state", func(e *lhpeerv1.Entry) { e.State = 4 }},
		{"unknown health", func(e *lhpeerv1.Entry) { e.Health = 3 }},
		{"short address", func(e *lhpeerv1.Entry) { e.Control = e.Control[:3] }},
		{"no control address", func(e *lhpeerv1.Entry) { e.Control = nil }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad := good()
			c.corrupt(bad)
			m := decodeMessage(&lhpeerv1.Message{Entries: []*lhpeerv1.Entry{bad, good()}})
			assert.Equal(t, len(m.Entries), 1)
		})
	}
}

func TestRecordsRoundTrip(t *testing.T) {
	byID := func(a, b lhflow.Record) int {
		return cmp.Or(cmp.Compare(a.ID.Hi, b.ID.Hi), cmp.Compare(a.ID.Lo, b.ID.Lo))
	}
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfDistinct(rapid.Custom(func(t *rapid.T) lhflow.Record {
			return lhflow.Record{
				ID:     lhflow.ID{Hi: rapid.Uint64().Draw(t, "high"), Lo: rapid.Uint64().Draw(t, "low")},
				Server: rapid.Uint32Max(3).Draw(t, "server"),
				ISN:    rapid.SampledFrom([]uint32{0, 1, 1 << 31}).Draw(t, "isn"),
				State:  lhflow.State(rapid.IntRange(1, 5).Draw(t, "state")),
				Work:   rapid.Uint16Max(2).Draw(t, "work"),
			}
		}), func(r lhflow.Record) lhflow.ID { return r.ID }).Draw(t, "records")
		got := decodeRecords(encodeRecords(records))
		slices.SortFunc(records, byID)
		slices.SortFunc(got, byID)
		assert.Assert(t, slices.Equal(got, records))
	})
}

func TestInvalidGroupsAreSkipped(t *testing.T) {
	bad := []*lhpeerv1.Group{
		{Ids: []uint64{1}},
		{Ids: []uint64{1, 2}, Isns: []uint32{1, 2}},
		{Ids: []uint64{1, 2, 3, 4}, Isns: []uint32{1}},
	}
	assert.Equal(t, len(decodeRecords(bad)), 0)
}
