package lhconf

import (
	"fmt"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// The upper limits of numbers in a configuration.
const (
	maxWeight      = 1000
	maxSlots       = 100_000
	maxServerFlows = 1_000_000
	maxKindFlows   = 200_000_000
	maxUrgency     = 9
	maxShare       = 100 // percent
)

// Validate checks a whole configuration without external lookups. Its problems have
// keys but no origins. A configuration without problems can be applied.
func Validate(c Config) Problems {
	v := validator{services: make(map[string]bool)}
	v.checkServices(c.Services)
	v.checkServers(c.Servers)
	v.checkKinds(c.Kinds)
	v.checkDataCentres(c.DataCentres)
	return v.problems
}

// validator collects the problems of one configuration.
type validator struct {
	services map[string]bool
	problems Problems
}

// sectionRef identifies the section that is checked.
type sectionRef struct{ kind, name string }

// key returns the section with a key in the form used by Problem.Key; only the
// section if key is empty.
func (s sectionRef) key(key string) string {
	section := s.kind + " " + s.name
	if key == "" {
		return section
	}
	return section + "." + key
}

// listener is the endpoint that callers connect to, unique to each service.
type listener struct {
	address netip.AddrPort
	proto   lhflow.Proto
}

func (v *validator) checkServices(services []Service) {
	listeners := make(map[listener]string)
	for _, s := range services {
		section := sectionRef{serviceSection, s.Name}
		v.checkName(section, v.services[s.Name])
		v.services[s.Name] = true
		if s.Proto != lhflow.TCP && s.Proto != lhflow.UDP {
			v.report(lhcode.SettingInvalid, section, "proto", "one of tcp, udp")
		}
		if s.Starts > 0 && s.Warmup == 0 {
			v.report(lhcode.SettingRange, section, "starts", "requires warmup, for as long as it holds")
		}
		if !v.checkAddress(section, s.Address) {
			continue
		}
		l := listener{s.Address, s.Proto}
		if other, ok := listeners[l]; ok {
			v.report(lhcode.DeclaredTwice, section, "address", "service "+other+" has the same address, port and protocol")
			continue
		}
		listeners[l] = s.Name
	}
}

func (v *validator) checkServers(servers []BackendServer) {
	names := make(map[string]bool, len(servers))
	addresses := make(map[netip.AddrPort]string, len(servers))
	for _, s := range servers {
		section := sectionRef{serverSection, s.Name}
		v.checkName(section, names[s.Name])
		names[s.Name] = true
		v.checkService(section, s.Service)
		v.checkRange(section, "weight", s.Weight, 1, maxWeight)
		v.checkRange(section, "slots", s.Slots, 1, maxSlots)
		v.checkRange(section, "flows", s.Flows, 1, maxServerFlows)
		if s.State > Draining {
			v.report(lhcode.SettingInvalid, section, "state", "one of serving, draining")
		}
		if !v.checkAddress(section, s.Address) {
			continue
		}
		if other, ok := addresses[s.Address]; ok {
			v.report(lhcode.DeclaredTwice, section, "address", "server "+other+" has the same address and port")
			continue
		}
		addresses[s.Address] = s.Name
	}
}

// kindScope is the service and the caller prefix that a kind applies to; no two kinds
// have the same scope.
type kindScope struct {
	service string
	prefix  netip.Prefix
}

func (v *validator) checkKinds(kinds []Kind) {
	names := make(map[string]bool)
	scopes := make(map[kindScope]string)
	shares := make(map[string]uint32)
	for _, k := range kinds {
		section := sectionRef{kindSection, k.Name}
		v.checkName(section, names[k.Name])
		names[k.Name] = true
		v.checkService(section, k.Service)
		v.checkRange(section, "urgency", uint32(k.Urgency), 0, maxUrgency)
		v.checkRange(section, "share", k.Share, 0, maxShare)
		v.checkRange(section, "flows", k.Flows, 0, maxKindFlows)
		v.checkShares(section, shares, k)
		c := kindScope{k.Service, k.Callers}
		if other, ok := scopes[c]; ok {
			v.report(lhcode.DeclaredTwice, section, "callers", "kind "+other+" of the same service has the same callers")
			continue
		}
		scopes[c] = k.Name
	}
}

// checkShares reports the kind whose share brings the total of its service above
// 100 percent.
func (v *validator) checkShares(section sectionRef, shares map[string]uint32, k Kind) {
	before := shares[k.Service]
	after := before + min(k.Share, maxShare)
	shares[k.Service] = after
	if before <= maxShare && after > maxShare {
		allowed := fmt.Sprintf("at most %d, since the other kinds of service %s have %d of 100 percent", maxShare-before, k.Service, before)
		v.report(lhcode.SettingRange, section, "share", allowed)
	}
}

func (v *validator) checkName(section sectionRef, taken bool) {
	if !IsName(section.name) {
		v.report(lhcode.SettingInvalid, section, "", nameAllowed)
	}
	if taken {
		v.report(lhcode.DeclaredTwice, section, "", "a name that no other section of the same kind has")
	}
}

func (v *validator) checkService(section sectionRef, service string) {
	if !v.services[service] {
		v.report(lhcode.ReferenceUnknown, section, "service", "the name of a declared service")
	}
}

func (v *validator) checkAddress(section sectionRef, address netip.AddrPort) bool {
	if !address.IsValid() || address.Port() == 0 {
		v.report(lhcode.SettingInvalid, section, "address", "an IP address with a port from 1 to 65535")
		return false
	}
	return true
}

func (v *validator) checkRange(section sectionRef, key string, n, low, high uint32) {
	if n < low || n > high {
		v.report(lhcode.SettingRange, section, key, fmt.Sprintf("a whole number from %d to %d", low, high))
	}
}

// report adds a problem of a key, or of the section itself if key is empty.
func (v *validator) report(code lhcode.Code, section sectionRef, key, allowed string) {
	v.problems = append(v.problems, Problem{Code: code, Key: section.key(key), Allowed: allowed})
}
