package lhconf

import (
	"fmt"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// The bounds of numbers in a configuration.
const (
	maxWeight      = 1000
	maxSlots       = 100_000
	maxServerFlows = 1_000_000
	maxKindFlows   = 200_000_000
	maxUrgency     = 9
	maxShare       = 100 // percent
)

// Validate checks a whole configuration. It looks nothing up; its problems name
// keys and no lines. A configuration without problems can be put in force.
func Validate(c Config) Problems {
	v := validator{services: make(map[string]bool)}
	v.checkServices(c.Services)
	v.checkServers(c.Servers)
	v.checkKinds(c.Kinds)
	return v.problems
}

// validator gathers the problems of one configuration.
type validator struct {
	services map[string]bool
	problems Problems
}

// subject is the section that a check is about.
type subject struct{ kind, name string }

// key returns the section with a key as problems name it.
func (s subject) key(key string) string {
	section := s.kind + " " + s.name
	if key == "" {
		return section
	}
	return section + "." + key
}

// listener is what callers connect to; no two services share one.
type listener struct {
	address netip.AddrPort
	proto   lhflow.Proto
}

func (v *validator) checkServices(services []Service) {
	listeners := make(map[listener]string)
	for _, s := range services {
		section := subject{serviceSection, s.Name}
		v.checkName(section, v.services[s.Name])
		v.services[s.Name] = true
		if s.Proto != lhflow.TCP && s.Proto != lhflow.UDP {
			v.add(lhcode.SettingInvalid, section, "proto", "one of tcp, udp")
		}
		if !v.checkAddress(section, s.Address) {
			continue
		}
		l := listener{s.Address, s.Proto}
		if other, ok := listeners[l]; ok {
			v.add(lhcode.DeclaredTwice, section, "address", "service "+other+" has the same address, port and protocol")
			continue
		}
		listeners[l] = s.Name
	}
}

func (v *validator) checkServers(servers []BackendServer) {
	names := make(map[string]bool, len(servers))
	addresses := make(map[netip.AddrPort]string, len(servers))
	for _, s := range servers {
		section := subject{serverSection, s.Name}
		v.checkName(section, names[s.Name])
		names[s.Name] = true
		v.checkService(section, s.Service)
		v.checkRange(section, "weight", s.Weight, 1, maxWeight)
		v.checkRange(section, "slots", s.Slots, 1, maxSlots)
		v.checkRange(section, "flows", s.Flows, 1, maxServerFlows)
		if s.State > Draining {
			v.add(lhcode.SettingInvalid, section, "state", "one of serving, draining")
		}
		if !v.checkAddress(section, s.Address) {
			continue
		}
		if other, ok := addresses[s.Address]; ok {
			v.add(lhcode.DeclaredTwice, section, "address", "server "+other+" has the same address and port")
			continue
		}
		addresses[s.Address] = s.Name
	}
}

// callers is what tells the kinds of one service apart.
type callers struct {
	service string
	prefix  netip.Prefix
}

func (v *validator) checkKinds(kinds []Kind) {
	names := make(map[string]bool)
	prefixes := make(map[callers]string)
	shares := make(map[string]uint32)
	for _, k := range kinds {
		section := subject{kindSection, k.Name}
		v.checkName(section, names[k.Name])
		names[k.Name] = true
		v.checkService(section, k.Service)
		v.checkRange(section, "urgency", uint32(k.Urgency), 0, maxUrgency)
		v.checkRange(section, "share", k.Share, 0, maxShare)
		v.checkRange(section, "flows", k.Flows, 0, maxKindFlows)
		v.checkShares(section, shares, k)
		c := callers{k.Service, k.Callers}
		if other, ok := prefixes[c]; ok {
			v.add(lhcode.DeclaredTwice, section, "callers", "kind "+other+" of the same service has the same callers")
			continue
		}
		prefixes[c] = k.Name
	}
}

// checkShares reports the kind whose share takes those of its service past the whole.
func (v *validator) checkShares(section subject, shares map[string]uint32, k Kind) {
	before := shares[k.Service]
	after := before + min(k.Share, maxShare)
	shares[k.Service] = after
	if before <= maxShare && after > maxShare {
		allowed := fmt.Sprintf("at most %d, since the other kinds of service %s have %d of 100 percent", maxShare-before, k.Service, before)
		v.add(lhcode.SettingRange, section, "share", allowed)
	}
}

func (v *validator) checkName(section subject, taken bool) {
	if !IsName(section.name) {
		v.add(lhcode.SettingInvalid, section, "", nameAllowed)
	}
	if taken {
		v.add(lhcode.DeclaredTwice, section, "", "a name that nothing else of its sort has")
	}
}

func (v *validator) checkService(section subject, service string) {
	if !v.services[service] {
		v.add(lhcode.ReferenceUnknown, section, "service", "the name of a declared service")
	}
}

func (v *validator) checkAddress(section subject, address netip.AddrPort) bool {
	if !address.IsValid() || address.Port() == 0 {
		v.add(lhcode.SettingInvalid, section, "address", "an IP address with a port from 1 to 65535")
		return false
	}
	return true
}

func (v *validator) checkRange(section subject, key string, n, low, high uint32) {
	if n < low || n > high {
		v.add(lhcode.SettingRange, section, key, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
}

// add adds a problem with a key of a section, or with the section itself where key
// is empty.
func (v *validator) add(code lhcode.Code, section subject, key, allowed string) {
	v.problems = append(v.problems, Problem{Code: code, Key: section.key(key), Allowed: allowed})
}
