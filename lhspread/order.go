package lhspread

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dchest/siphash"

	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

const (
	// fanOut is the maximum number of children of a VM in the tree of its data centre. A
	// tree of 400 VMs is three calls deep.
	fanOut = 8
	// ReadPeriod is the time between two reads of the store by the first VM: a fifth of
	// the time within which all VMs have to know that a server is draining.
	ReadPeriod = 600 * time.Millisecond
	// standbyMaxAge is the age of the known state at which another VM reads the store.
	// rankDelay is added for each rank, so that a VM that has read the store can update
	// the next ones before they read it as well.
	standbyMaxAge = 1100 * time.Millisecond
	rankDelay     = 60 * time.Millisecond
	// maxDelayedRank is the rank from which on the delay no longer grows.
	maxDelayedRank = 10
	// localReaders is how many VMs of each data centre read the store when their state is
	// outdated, without asking others. Each further VM steps in stepInDelay later, up to
	// maxStepInDelay: it is ever less likely that the store refuses all VMs before it. The
	// others ask one of the first sources VMs.
	localReaders   = 2
	sources        = 4
	stepInDelay    = 300 * time.Millisecond
	maxStepInDelay = 5 * time.Second
	// publishers is how many VMs send what they read to the others. After an outage of
	// the store many VMs read it at the same time.
	publishers = 4
)

// Member is a VM as described by its entry in the store.
type Member struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"datacentre"`
	Control    netip.AddrPort `json:"control"`
	// Size is the class of the VM's processor and link (Size); 0 if it is not known.
	Size int `json:"size,omitempty"`
}

// SipHash keys for the order of members. They need not be secret.
const orderKey0, orderKey1 = 0x7370726561642d30, 0x7370726561642d31

// hashName returns the hash of a VM's name.
func hashName(name string) uint64 { return siphash.Hash(orderKey0, orderKey1, []byte(name)) }

// sortMembers returns members sorted by size, the largest first, and those of a size by a hash
// of their names. So the VMs that have room read the store and forward updates. Sizes count
// only if all members have one: VMs of a build without sizes sort by hash alone, and in trees
// that differ updates would go in circles.
func sortMembers(members []Member) []Member {
	all := slices.Clone(members)
	hashes := make(map[string]uint64, len(all))
	for _, m := range all {
		hashes[m.Name] = hashName(m.Name)
	}
	sized := !slices.ContainsFunc(all, func(m Member) bool { return m.Size == 0 })
	slices.SortFunc(all, func(a, b Member) int {
		bySize := 0
		if sized {
			bySize = cmp.Compare(b.Size, a.Size)
		}
		return cmp.Or(bySize, cmp.Compare(hashes[a.Name], hashes[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// Order is the order of all VMs from the point of view of one of them. It is immutable;
// the zero Order has no members.
type Order struct {
	self string
	// rank is the index of self in the order of all members, or their number if self is
	// not a member.
	rank int
	// all holds the members in order, and byDataCentre those of each data centre.
	all          []Member
	byDataCentre map[string][]Member
}

// NewOrder returns the order of members from the point of view of the VM named self.
func NewOrder(self string, members []Member) *Order {
	all := sortMembers(members)
	o := &Order{self: self, all: all, byDataCentre: make(map[string][]Member), rank: len(all)}
	for i, m := range all {
		if m.Name == self {
			o.rank = i
		}
		o.byDataCentre[m.DataCentre] = append(o.byDataCentre[m.DataCentre], m)
	}
	return o
}

// MaxAge returns the age of the known state at which the VM reads the store.
func (o *Order) MaxAge() time.Duration {
	if o.rank == 0 {
		return ReadPeriod
	}
	return standbyMaxAge + rankDelay*time.Duration(min(o.rank, maxDelayedRank))
}

// IsReader reports whether the VM is the one that reads the store for all others.
func (o *Order) IsReader() bool { return o.rank == 0 }

// Publishes reports whether the VM sends what it reads to the others.
func (o *Order) Publishes() bool { return o.rank < publishers }

// ReadAge returns the age of the known state at which the VM reads the store even if the VMs
// that it asks for changes answer. The first VMs of each data centre ask nobody; the others
// step in one after the other while those have no recent state either.
func (o *Order) ReadAge() time.Duration {
	group, index := o.ownGroup()
	if o.Publishes() || len(o.byDataCentre) == 0 || len(group) > 0 && index < localReaders {
		return o.MaxAge()
	}
	if len(group) == 0 {
		index = max(o.rank, localReaders)
	}
	return o.MaxAge() + min(stepInDelay*time.Duration(index-localReaders+1), maxStepInDelay)
}

// Size returns the number of members.
func (o *Order) Size() int {
	sum := 0
	for _, g := range o.byDataCentre {
		sum += len(g)
	}
	return sum
}

// treeNode is a VM in the tree of its data centre. The tree is stored as in a heap: the
// children of a node follow from its index in group.
type treeNode struct {
	group []Member
	index int
}

func (t treeNode) member() Member { return t.group[t.index] }

// children returns the nodes that a VM forwards an update to. If the VM can't be reached,
// they are called in its place.
func (t treeNode) children() []treeNode {
	var list []treeNode
	for i := t.index*fanOut + 1; i <= (t.index+1)*fanOut && i < len(t.group); i++ {
		list = append(list, treeNode{t.group, i})
	}
	return list
}

// roots returns the root of the tree of each data centre. The VM that has read the store
// sends its update to them.
func (o *Order) roots() []treeNode {
	var list []treeNode
	for _, g := range o.byDataCentre {
		list = append(list, treeNode{g, 0})
	}
	return list
}

// ownGroup returns the members of the VM's data centre in order and the VM's index in it. If
// the VM is not a member, there are none.
func (o *Order) ownGroup() ([]Member, int) {
	for _, group := range o.byDataCentre {
		if i := slices.IndexFunc(group, o.isSelf); i >= 0 {
			return group, i
		}
	}
	return nil, 0
}

// selfChildren returns the children of the VM itself.
func (o *Order) selfChildren() []treeNode {
	group, i := o.ownGroup()
	return treeNode{group, i}.children()
}

// peers returns the other members of the VM's data centre, or all if the VM is not a member.
func (o *Order) peers() []Member {
	if group, self := o.ownGroup(); len(group) > 0 {
		return slices.Concat(group[:self], group[self+1:])
	}
	return o.all
}

// source returns the member that is asked for changes: one of the VM's data centre unless it
// is alone there. The argument returns a random number below its own argument. It reports false
// if there is no other member.
func (o *Order) source(from lhstore.Source, random func(int) int) (Member, bool) {
	list := o.peers()
	if len(list) == 0 {
		return o.elsewhere(from, random)
	}
	return choose(list, from, random)
}

// elsewhere returns a member of another data centre. It reports false if there is none.
func (o *Order) elsewhere(from lhstore.Source, random func(int) int) (Member, bool) {
	group, _ := o.ownGroup()
	if len(group) == 0 {
		return Member{}, false
	}
	others := slices.DeleteFunc(slices.Clone(o.all), func(m Member) bool { return m.DataCentre == group[0].DataCentre })
	return choose(others, from, random)
}

// choose returns one of the members that may be asked.
func choose(list []Member, from lhstore.Source, random func(int) int) (Member, bool) {
	if from == lhstore.FromReader {
		list = list[:min(sources, len(list))]
	}
	if len(list) == 0 {
		return Member{}, false
	}
	return list[random(len(list))], true
}

// isSelf reports whether a member is the VM itself.
func (o *Order) isSelf(m Member) bool { return m.Name == o.self }
