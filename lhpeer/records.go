package lhpeer

import (
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

// shared is what the records of one group on the wire have in common.
type shared struct {
	server uint32
	work   uint16
	state  lhflow.State
}

// encodeRecords groups records by what they share, so that each costs little
// more than its ID and sequence number.
func encodeRecords(records []lhflow.Record) []*lhpeerv1.Group {
	var groups []*lhpeerv1.Group
	index := make(map[shared]*lhpeerv1.Group)
	for _, r := range records {
		key := shared{server: r.Server, work: r.Work, state: r.State}
		g := index[key]
		if g == nil {
			g = &lhpeerv1.Group{Server: r.Server, Work: uint32(r.Work), State: uint32(r.State)}
			index[key] = g
			groups = append(groups, g)
		}
		g.Ids = append(g.Ids, r.ID.Hi, r.ID.Lo)
		g.Isns = append(g.Isns, r.ISN)
	}
	for _, g := range groups {
		dropZeros(g)
	}
	return groups
}

// dropZeros leaves out sequence numbers that are all 0, as those of UDP are.
func dropZeros(g *lhpeerv1.Group) {
	for _, isn := range g.Isns {
		if isn != 0 {
			return
		}
	}
	g.Isns = nil
}

// decodeRecords returns the records in groups. A group whose lists do not match
// is left out.
func decodeRecords(groups []*lhpeerv1.Group) []lhflow.Record {
	var records []lhflow.Record
	for _, g := range groups {
		count := len(g.GetIds()) / 2
		if len(g.GetIds())%2 != 0 || len(g.GetIsns()) != 0 && len(g.GetIsns()) != count {
			continue
		}
		for i := range count {
			r := lhflow.Record{
				ID:     lhflow.ID{Hi: g.GetIds()[2*i], Lo: g.GetIds()[2*i+1]},
				Server: g.GetServer(),
				State:  lhflow.State(g.GetState()),
				Work:   uint16(g.GetWork()),
			}
			if len(g.GetIsns()) != 0 {
				r.ISN = g.GetIsns()[i]
			}
			records = append(records, r)
		}
	}
	return records
}
