package lhflow

import (
	"net/netip"
	"sort"
)

// MemberID identifies one run of the process on a VM; a restarted VM has a new one.
type MemberID uint64

// MemberState is where a member stands between joining and leaving.
type MemberState uint8

// The states of a member. A state only ever moves forwards.
const (
	// Joining receives hand-over and owns nothing yet.
	Joining MemberState = iota
	// Active owns flows.
	Active
	// Leaving still owns its flows and hands them over.
	Leaving
	// Gone owns nothing; it has handed over, or it was found dead.
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
	// Data is where the member receives Geneve packets.
	Data netip.AddrPort
	// Control is where the member serves its peers.
	Control netip.AddrPort
	State   MemberState
}

// View is the membership of a group as one VM sees it. It is never changed after
// it has been built; VMs may hold different views at the same time.
type View struct {
	// Version grows by 1 with each change that this VM has seen.
	Version uint64
	// Self is the VM's own member ID.
	Self MemberID
	// Members is sorted by ID and holds none that is Gone.
	Members []Member
}

// NewView returns a view of members, without those that are gone.
func NewView(version uint64, self MemberID, members []Member) *View {
	kept := make([]Member, 0, len(members))
	for _, m := range members {
		if m.State != Gone {
			kept = append(kept, m)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].ID < kept[j].ID })
	return &View{Version: version, Self: self, Members: kept}
}

// Member returns the member with the given ID.
func (v *View) Member(id MemberID) (Member, bool) {
	i := sort.Search(len(v.Members), func(i int) bool { return v.Members[i].ID >= id })
	if i == len(v.Members) || v.Members[i].ID != id {
		return Member{}, false
	}
	return v.Members[i], true
}

// Owners are the two members that keep a flow's record. Second is 0 in a group of one.
type Owners struct{ First, Second MemberID }

// Has reports whether m is one of the owners.
func (o Owners) Has(m MemberID) bool { return m != 0 && (o.First == m || o.Second == m) }

// Owners returns the owners of a flow at present, among the members that are
// active or leaving. The first is the highest in rendezvous order. The second is
// the highest of another data centre, so that a rack or a data centre that fails
// takes one copy of a record at most; in a group within one data centre it is the
// next in order. Two views that differ by one member have an owner in common.
func (v *View) Owners(id ID) Owners { return v.owners(id, Active, Leaving) }

// NextOwners returns the owners once every joining member has joined and every
// leaving member has left. Owners hand records over to them.
func (v *View) NextOwners(id ID) Owners { return v.owners(id, Joining, Active) }

func (v *View) owners(id ID, a, b MemberState) Owners {
	var first, apart, other candidate
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != a && m.State != b {
			continue
		}
		c := candidate{member: m, rank: Rank(id, uint64(m.ID))}
		if c.above(first) {
			first, c = c, first
		}
		if c.member == nil {
			continue
		}
		other = c.max(other)
	}
	if first.member == nil {
		return Owners{}
	}
	for i := range v.Members {
		m := &v.Members[i]
		if m.DataCentre == first.member.DataCentre || m.State != a && m.State != b {
			continue
		}
		apart = candidate{member: m, rank: Rank(id, uint64(m.ID))}.max(apart)
	}
	if apart.member == nil {
		apart = other
	}
	owners := Owners{First: first.member.ID}
	if apart.member != nil {
		owners.Second = apart.member.ID
	}
	return owners
}

// candidate is a member and its place in a flow's rendezvous order.
type candidate struct {
	// member is nil for no candidate.
	member *Member
	rank   uint64
}

func (c candidate) above(d candidate) bool {
	return d.member == nil || c.rank > d.rank
}

func (c candidate) max(d candidate) candidate {
	if c.above(d) {
		return c
	}
	return d
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
