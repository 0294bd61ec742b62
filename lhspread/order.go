package lhspread

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dchest/siphash"
)

const (
	// fanOut is how many VMs one VM calls within its data centre. 400 VMs are three
	// calls deep.
	fanOut = 8
	// ReadPeriod is the time between two readings of the store by the first VM: a
	// fifth of the time in which all VMs have to know of a draining server.
	ReadPeriod = 600 * time.Millisecond
	// othersPeriod is how old what it knows may become until another VM reads the
	// store, and rankDelay what each place in the order adds, so that one that has
	// read can tell the next before they read as well.
	othersPeriod = 1100 * time.Millisecond
	rankDelay    = 60 * time.Millisecond
	// lastDelayed is the place from which on the delay grows no more.
	lastDelayed = 10
	// tellers is how many VMs tell the others what they read. After an outage many read
	// at the same time.
	tellers = 4
)

// Member is a VM as its entry in the store names it.
type Member struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"datacentre"`
	Control    netip.AddrPort `json:"control"`
}

// The keys of the hash that orders members. They are no secret.
const orderKey0, orderKey1 = 0x7370726561642d30, 0x7370726561642d31

// sorted returns members in the order of a hash of their names.
func sorted(members []Member) []Member {
	all := slices.Clone(members)
	hashes := make(map[string]uint64, len(all))
	for _, m := range all {
		hashes[m.Name] = siphash.Hash(orderKey0, orderKey1, []byte(m.Name))
	}
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashes[a.Name], hashes[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// Order is the order of all VMs as one of them sees it. It is never changed; the zero
// Order has no members.
type Order struct {
	self string
	// rank is the place of self among all members, or behind them.
	rank int
	// groups holds the members of each data centre in order.
	groups map[string][]Member
}

// NewOrder returns the order of members as the VM named self sees it.
func NewOrder(self string, members []Member) *Order {
	all := sorted(members)
	o := &Order{self: self, groups: make(map[string][]Member), rank: len(all)}
	for i, m := range all {
		if m.Name == self {
			o.rank = i
		}
		o.groups[m.DataCentre] = append(o.groups[m.DataCentre], m)
	}
	return o
}

// Patience returns how old what the VM knows may become until it reads the store.
func (o *Order) Patience() time.Duration {
	if o.rank == 0 {
		return ReadPeriod
	}
	return othersPeriod + rankDelay*time.Duration(min(o.rank, lastDelayed))
}

// First reports whether the VM is the one that reads the store for all.
func (o *Order) First() bool { return o.rank == 0 }

// Tells reports whether the VM tells the others what it reads.
func (o *Order) Tells() bool { return o.rank < tellers }

// Size returns the number of members.
func (o *Order) Size() int {
	sum := 0
	for _, g := range o.groups {
		sum += len(g)
	}
	return sum
}

// position is the place of a VM within its data centre.
type position struct {
	group []Member
	index int
}

func (p position) member() Member { return p.group[p.index] }

// followers returns the places that a VM calls when it is told something, or those
// called for it when it can't be reached.
func (p position) followers() []position {
	var list []position
	for i := p.index*fanOut + 1; i <= (p.index+1)*fanOut && i < len(p.group); i++ {
		list = append(list, position{p.group, i})
	}
	return list
}

// tops returns the first place of each data centre, those to call with news read from
// the store.
func (o *Order) tops() []position {
	var list []position
	for _, g := range o.groups {
		list = append(list, position{g, 0})
	}
	return list
}

// own returns the followers of the VM itself.
func (o *Order) own() []position {
	for _, g := range o.groups {
		for i, m := range g {
			if m.Name == o.self {
				return position{g, i}.followers()
			}
		}
	}
	return nil
}
