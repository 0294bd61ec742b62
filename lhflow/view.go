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
	// steady is set while no member joins or leaves.
	steady bool
	// seats holds what the choice of owners needs of each member, in little memory.
	seats []seat
}

// seat is a member as the choice of owners sees it.
type seat struct {
	id MemberID
	// site is the number of the data centre within the view.
	site  uint16
	state MemberState
}

// NewView returns a view of members, without those that are gone.
func NewView(version uint64, self MemberID, members []Member) *View {
	v := &View{Version: version, Self: self, Members: make([]Member, 0, len(members)), steady: true}
	sites := make(map[string]uint16)
	for _, m := range members {
		if m.State == Gone {
			continue
		}
		if _, known := sites[m.DataCentre]; !known {
			sites[m.DataCentre] = uint16(len(sites))
		}
		v.steady = v.steady && m.State == Active
		v.Members = append(v.Members, m)
		v.seats = append(v.seats, seat{id: m.ID, site: sites[m.DataCentre], state: m.State})
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
func (v *View) NextOwners(id ID) Owners {
	if v.steady {
		return v.owners(id, Active, Active)
	}
	return v.owners(id, Joining, Active)
}

// owners chooses among the members in state a or b. It passes over them once, for
// a group may have hundreds.
func (v *View) owners(id ID, a, b MemberState) Owners {
	// apart is the highest of another data centre than the first.
	var first, second, apart candidate
	for i := range v.seats {
		m := &v.seats[i]
		if m.state != a && m.state != b {
			continue
		}
		c := candidate{seat: m, rank: Rank(id, uint64(m.id))}
		switch {
		case c.above(first):
			if first.isApart(c) {
				apart = first
			}
			first, second = c, first
		case c.above(second):
			second = c
		}
		if c.isApart(first) && c.above(apart) {
			apart = c
		}
	}
	if apart.seat != nil {
		second = apart
	}
	return Owners{First: first.member(), Second: second.member()}
}

// candidate is a member and its place in a flow's rendezvous order.
type candidate struct {
	// seat is nil for no candidate.
	seat *seat
	rank uint64
}

func (c candidate) member() MemberID {
	if c.seat == nil {
		return 0
	}
	return c.seat.id
}

func (c candidate) above(d candidate) bool {
	return d.seat == nil || c.rank > d.rank
}

// isApart reports whether both are there and stand in different data centres.
func (c candidate) isApart(d candidate) bool {
	return c.seat != nil && d.seat != nil && c.seat.site != d.seat.site
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
