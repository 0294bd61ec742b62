package lhflow

import (
	"net/netip"
	"sort"
)

// MemberID identifies one run of the process on a VM; a restart gets a new ID.
type MemberID uint64

// MemberState is a member's stage between joining and leaving.
type MemberState uint8

// The states of a member. A state only ever moves forwards.
const (
	// Joining receives hand-over and owns no flows yet.
	Joining MemberState = iota
	// Active owns flows.
	Active
	// Leaving still owns its flows and hands them over.
	Leaving
	// Gone owns no flows: the member has handed them over or was declared dead.
	Gone
)

// String returns the state's name.
func (s MemberState) String() string {
	return [...]string{"joining", "active", "leaving", "gone"}[s&3]
}

// Member is one VM of a group.
type Member struct {
	ID         MemberID
	Name       string
	DataCentre string
	// Data is the address at which the member receives Geneve packets.
	Data netip.AddrPort
	// Control is the address of the member's peer service.
	Control netip.AddrPort
	State   MemberState
}

// View is the membership of a group as seen by one VM. It is immutable; VMs may
// hold different views at the same time.
type View struct {
	// Version increases by 1 with each change that this VM has seen.
	Version uint64
	// Self is the VM's own member ID.
	Self MemberID
	// Members is sorted by ID and excludes members in state Gone.
	Members []Member
	// stable is set if no member is joining or leaving.
	stable bool
	// compact holds the data that owner selection needs of each member, in little
	// memory.
	compact []compactMember
}

// compactMember is the part of a member that owner selection needs.
type compactMember struct {
	id MemberID
	// dataCentre is the index of the data centre within the view.
	dataCentre uint16
	state      MemberState
}

// NewView returns a view of members, excluding those that are gone.
func NewView(version uint64, self MemberID, members []Member) *View {
	v := &View{Version: version, Self: self, Members: make([]Member, 0, len(members)), stable: true}
	dataCentres := make(map[string]uint16)
	for _, m := range members {
		if m.State == Gone {
			continue
		}
		if _, known := dataCentres[m.DataCentre]; !known {
			dataCentres[m.DataCentre] = uint16(len(dataCentres))
		}
		v.stable = v.stable && m.State == Active
		v.Members = append(v.Members, m)
		v.compact = append(v.compact, compactMember{id: m.ID, dataCentre: dataCentres[m.DataCentre], state: m.State})
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].ID < v.Members[j].ID })
	return v
}

// Member returns the member with the given ID.
func (v *View) Member(id MemberID) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].ID >= id })
	if i == len(v.Members) || v.Members[i].ID != id {
		return Member{}, false
	}
	return v.Members[i], true
}

// leaves reports whether a member is leaving.
func (v *View) leaves(id MemberID) bool {
	m, ok := v.Member(id)
	return ok && m.State == Leaving
}

// Owners are the two members that hold a flow's record. Second is 0 in a group of
// one.
type Owners struct{ First, Second MemberID }

// Has reports whether m is one of the owners.
func (o Owners) Has(m MemberID) bool { return m != 0 && (o.First == m || o.Second == m) }

// Owners returns the current owners of a flow, among the members that are active or
// leaving. The first is the highest in rendezvous order. The second is the highest
// in another data centre, so that the failure of a rack or a data centre loses at
// most one copy of a record; in a group within one data centre it is the next in
// order. Two views that differ by one member have an owner in common.
func (v *View) Owners(id ID) Owners { return v.owners(id, Active, Leaving) }

// NextOwners returns the owners after every joining member has joined and every
// leaving member has left. The current owners hand records over to them.
func (v *View) NextOwners(id ID) Owners {
	if v.stable {
		return v.owners(id, Active, Active)
	}
	return v.owners(id, Joining, Active)
}

// owners selects among the members in state a or b in a single pass, because a
// group may have hundreds of members.
func (v *View) owners(id ID, a, b MemberState) Owners {
	// remote is the highest-ranked member outside the first's data centre.
	var first, second, remote candidate
	for i := range v.compact {
		m := &v.compact[i]
		if m.state != a && m.state != b {
			continue
		}
		c := candidate{member: m, rank: Rank(id, uint64(m.id))}
		switch {
		case c.ranksAbove(first):
			if first.inOtherDataCentre(c) {
				remote = first
			}
			first, second = c, first
		case c.ranksAbove(second):
			second = c
		}
		if c.inOtherDataCentre(first) && c.ranksAbove(remote) {
			remote = c
		}
	}
	if remote.member != nil {
		second = remote
	}
	return Owners{First: first.memberID(), Second: second.memberID()}
}

// candidate is a member and its rank for a flow.
type candidate struct {
	// member is nil for no candidate.
	member *compactMember
	rank   uint64
}

func (c candidate) memberID() MemberID {
	if c.member == nil {
		return 0
	}
	return c.member.id
}

func (c candidate) ranksAbove(d candidate) bool {
	return d.member == nil || c.rank > d.rank
}

// inOtherDataCentre reports whether both candidates exist and are in different data
// centres.
func (c candidate) inOtherDataCentre(d candidate) bool {
	return c.member != nil && d.member != nil && c.member.dataCentre != d.member.dataCentre
}

// Rank returns the rendezvous weight of a candidate for a flow.
func Rank(id ID, candidate uint64) uint64 {
	x := id.Lo ^ candidate*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= id.Hi
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
