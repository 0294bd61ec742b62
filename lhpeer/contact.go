package lhpeer

import (
	"net/netip"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// contact is the control address of a possible member.
type contact struct {
	control  netip.AddrPort
	answered bool
}

// AddContacts adds contacts, for example from the platform's list of VMs. That list
// lags behind the group, so a member that is missing from it stays a member, and an
// address in it does not prove membership.
func (m *Membership) AddContacts(contacts []netip.AddrPort) {
	for _, c := range contacts {
		if c != m.self.Control && m.contact(c) == nil {
			m.contacts = append(m.contacts, contact{control: c})
		}
	}
}

// nextContact returns the contact to send to in this period, or nil. A joining
// member contacts each address until it answers. Later, every contactEvery periods,
// it contacts an address that belongs to no known member, so that separated groups
// merge again.
func (m *Membership) nextContact() *contact {
	if len(m.contacts) == 0 {
		return nil
	}
	if m.self.State != lhflow.Joining && m.pings%contactEvery != 0 {
		return nil
	}
	for range m.contacts {
		c := m.contacts[0]
		m.contacts = append(m.contacts[1:], c)
		last := &m.contacts[len(m.contacts)-1]
		if m.self.State == lhflow.Joining && !c.answered {
			return last
		}
		if m.self.State != lhflow.Joining && !m.isMember(c) {
			return last
		}
	}
	return nil
}

// isMember reports whether a contact is the address of a member that is not final.
func (m *Membership) isMember(c contact) bool {
	return slices.ContainsFunc(m.peers, func(p *peer) bool {
		return p.Control == c.control && !p.final()
	})
}

func (m *Membership) contact(control netip.AddrPort) *contact {
	for i := range m.contacts {
		if m.contacts[i].control == control {
			return &m.contacts[i]
		}
	}
	return nil
}
