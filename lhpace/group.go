package lhpace

import (
	"encoding/binary"
	"time"

	"github.com/dchest/siphash"
)

const (
	// MaxAge is the age of the known state up to which a VM uses its part of a declared limit.
	// It is above the age that a VM reaches while the store answers others but not itself.
	MaxAge = 2500 * time.Millisecond
	// HoldTime is how long a VM that was removed still counts, and how long a VM that has
	// joined doesn't use its parts. It is above twice MaxAge, so that of any two VMs that use
	// their parts each counts the other.
	HoldTime = 6 * time.Second
)

// Member is a VM.
type Member struct{ Name, DataCentre string }

// Group is what one VM knows of the VMs that share declared limits. In the zero Group no VM
// has a part.
//
// A VM counts as soon as it is known and until HoldTime after it was last known; the VM
// itself uses its parts once it has been known for HoldTime without interruption, and while
// its state is not older than MaxAge. Of two VMs that use their parts at the same time, each
// therefore counts the other: both have been known in every state of the last HoldTime, and
// each knows a state of the last MaxAge. So no two of them have the same rank for a server,
// and each counts at least all of them, however much their views differ otherwise.
type Group struct {
	self    string
	members map[string]*membership
	// generation increases with each change of the VMs that count.
	generation uint64
}

// membership is a VM that counts.
type membership struct {
	dataCentre string
	hash       uint64
	// since is when the VM became known, and goneAt when it was removed; present is set if it
	// wasn't.
	since, goneAt time.Duration
	present       bool
}

// NewGroup returns the group of a VM.
func NewGroup(self string) *Group {
	return &Group{self: self, members: make(map[string]*membership)}
}

// SetMembers replaces the known VMs.
func (g *Group) SetMembers(now time.Duration, members []Member) {
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.Name] = true
		known := g.members[m.Name]
		switch {
		case known == nil || known.dataCentre != m.DataCentre:
			g.members[m.Name] = &membership{dataCentre: m.DataCentre, hash: hashName(m.Name), since: now, present: true}
			g.generation++
		case !known.present:
			known.present, known.since = true, now
		}
	}
	for name, known := range g.members {
		if known.present && !listed[name] {
			known.present, known.goneAt = false, now
		}
	}
	g.Expire(now)
}

// Expire removes VMs that have not been known for HoldTime.
func (g *Group) Expire(now time.Duration) {
	for name, known := range g.members {
		if !known.present && now-known.goneAt >= HoldTime {
			delete(g.members, name)
			g.generation++
		}
	}
}

// Generation returns a number that changes when ranks may change.
func (g *Group) Generation() uint64 { return g.generation }

// Ready reports whether the VM may use its parts, given the age of the state that it knows.
func (g *Group) Ready(now, age time.Duration) bool {
	self := g.members[g.self]
	return self != nil && self.present && now-self.since >= HoldTime && age <= MaxAge
}

// Rank returns the rank of the VM for a server, and the count of the VMs ranked: those of the
// server's data centre, or all if there are none. It returns false if the VM is not one of them.
func (g *Group) Rank(server uint32, dataCentre string) (rank, count int, ok bool) {
	self := g.members[g.self]
	if self == nil {
		return 0, 0, false
	}
	local := false
	for _, m := range g.members {
		local = local || m.dataCentre == dataCentre
	}
	if local && self.dataCentre != dataCentre {
		return 0, 0, false
	}
	own := score(self.hash, server)
	for name, m := range g.members {
		if local && m.dataCentre != dataCentre {
			continue
		}
		count++
		if s := score(m.hash, server); s > own || s == own && name < g.self {
			rank++
		}
	}
	return rank, count, true
}

// SipHash keys for the ranks of VMs. They need not be secret.
const rankKey0, rankKey1 = 0x706163652d30, 0x706163652d31

func hashName(name string) uint64 { return siphash.Hash(rankKey0, rankKey1, []byte(name)) }

// score orders VMs for a server; the highest score has rank 0.
func score(member uint64, server uint32) uint64 {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], server)
	return siphash.Hash(member, rankKey1, b[:])
}
