package lhpeer

import (
	"net/netip"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// contact is an address at which a member may answer.
type contact struct {
	control  netip.AddrPort
	answered bool
}

// Listed adds contacts, such as those in the platform's list of VMs. The list
// lags: a member that it lacks stays, and one that it still holds is no member
// for that.
func (m *Membership) Listed(contacts []netip.AddrPort) {
	for _, c := range contacts {
		if c != m.self.Control && m.contact(c) == nil {
			m.contacts = append(m.contacts, contact{control: c})
		}
	}
}

// nextContact returns the contact to greet in this period, nil for none. While
// the member joins, it greets each contact until it answers; later only now and
// then those that are no known member, so that groups that grew apart meet.
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
		if m.self.State != lhflow.Joining && !m.knows(c) {
			return last
		}
	}
	return nil
}

// knows reports whether a contact is the address of a member that is not final.
func (m *Membership) knows(c contact) bool {
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
