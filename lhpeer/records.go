package lhpeer

import (
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

// groupKey holds the fields that all records of a group have in common.
type groupKey struct {
	server uint32
	work   uint16
	state  lhflow.State
}

// encodeRecords groups records by groupKey, so that each adds little more than its
// ID and initial sequence number to the message.
func encodeRecords(records []lhflow.Record) []*lhpeerv1.Group {
	var groups []*lhpeerv1.Group
	index := make(map[groupKey]*lhpeerv1.Group)
	for _, r := range records {
		key := groupKey{server: r.Server, work: r.Work, state: r.State}
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

// dropZeros omits the initial sequence numbers of a group if all are 0, as with
// UDP.
func dropZeros(g *lhpeerv1.Group) {
	for _, isn := range g.Isns {
		if isn != 0 {
			return
		}
	}
	g.Isns = nil
}

// decodeRecords returns the records of all groups. Groups whose lists differ in
// length are skipped.
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
