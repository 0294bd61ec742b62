package lhconf

import (
	"fmt"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Warnings returns what is valid in a configuration and most likely not meant: entries that
// can never match, and limits that contradict each other. Origins are those of its values. The
// result is never nil.
func Warnings(c Config, origins Origins) Problems {
	w := warner{
		services: make(map[string]*serviceUse, len(c.Services)), evacuated: make(map[string]bool),
		populated: make(map[string]bool), found: Problems{},
	}
	for _, d := range c.DataCentres {
		w.evacuated[d.Name] = d.Evacuated
	}
	for i := range c.Services {
		w.services[c.Services[i].Name] = &serviceUse{service: &c.Services[i]}
	}
	for i := range c.Servers {
		w.addServer(&c.Servers[i])
	}
	for i := range c.Kinds {
		w.addKind(&c.Kinds[i])
	}
	for i := range c.Services {
		w.checkService(w.services[c.Services[i].Name])
	}
	for _, d := range c.DataCentres {
		w.checkDataCentre(d)
	}
	return w.withOrigins(origins)
}

// serviceUse is a service with what refers to it.
type serviceUse struct {
	service *Service
	kinds   []*Kind
	// servers counts the servers, serving those that take new flows, and withheld those that
	// would if their data centre were not evacuated; slots and flows are the sums of the limits of
	// all.
	servers, serving, withheld int
	slots, flows               uint64
}

// warner collects the warnings of one configuration.
type warner struct {
	services map[string]*serviceUse
	// evacuated marks the data centres that are evacuated, and populated those that have a server.
	evacuated, populated map[string]bool
	found                Problems
}

func (w *warner) addServer(s *BackendServer) {
	section := sectionRef{serverSection, s.Name}
	w.populated[s.DataCentre] = true
	if s.Slots > s.Flows {
		w.warn(lhcode.LimitsContradict, section, "flows", fmt.Sprintf("at least %d, its slots: each slot serves a flow", s.Slots))
	}
	use := w.services[s.Service]
	if use == nil {
		return
	}
	use.servers++
	switch {
	case s.State != Serving:
	case w.evacuated[s.DataCentre]:
		use.withheld++
	default:
		use.serving++
	}
	use.slots += uint64(s.Slots)
	use.flows += uint64(s.Flows)
}

func (w *warner) addKind(k *Kind) {
	if use := w.services[k.Service]; use != nil {
		use.kinds = append(use.kinds, k)
	}
}

func (w *warner) checkService(use *serviceUse) {
	section := sectionRef{serviceSection, use.service.Name}
	switch {
	case use.servers == 0:
		w.warn(lhcode.EntryUnmatched, section, "", "a service with a backend server; all its flows are refused")
	case use.serving == 0 && use.withheld > 0:
		w.warn(lhcode.EntryUnmatched, section, "", "a service with a server that is not draining, in a data centre that is not evacuated; all its new flows are refused")
	case use.serving == 0:
		w.warn(lhcode.EntryUnmatched, section, "", "a service with a server that is not draining; all its new flows are refused")
	}
	for _, k := range use.kinds {
		w.checkCallers(use, k)
		w.checkLimits(use, k)
	}
}

// checkDataCentre warns of an evacuation that concerns no server.
func (w *warner) checkDataCentre(d DataCentre) {
	if d.Evacuated && !w.populated[d.Name] {
		w.warn(lhcode.EntryUnmatched, sectionRef{dataCentreSection, d.Name}, "state", "evacuated for a data centre that has a backend server")
	}
}

// checkCallers warns of a kind that no caller belongs to.
func (w *warner) checkCallers(use *serviceUse, k *Kind) {
	section := sectionRef{kindSection, k.Name}
	if k.Callers.IsValid() && k.Callers.Addr().Is4() != use.service.Address.Addr().Unmap().Is4() {
		w.warn(lhcode.EntryUnmatched, section, "callers", "a prefix of the address family of service "+k.Service)
		return
	}
	scope := k.Callers
	if !scope.IsValid() {
		scope = allCallers(use.service.Address.Addr())
	}
	var narrower []netip.Prefix
	for _, other := range use.kinds {
		if p := other.Callers; other != k && p.IsValid() && p.Bits() >= scope.Bits() && scope.Contains(p.Addr()) {
			narrower = append(narrower, p.Masked())
		}
	}
	if covered(scope.Masked(), narrower) {
		w.warn(lhcode.EntryUnmatched, section, "callers", "callers that no other kind of service "+k.Service+" names more closely")
	}
}

// checkLimits warns of limits of a kind that others make ineffective.
func (w *warner) checkLimits(use *serviceUse, k *Kind) {
	section := sectionRef{kindSection, k.Name}
	flows := uint64(k.Flows)
	if flows == 0 || use.servers == 0 {
		return
	}
	if flows > use.flows {
		w.warn(lhcode.LimitsContradict, section, "flows",
			fmt.Sprintf("at most %d, the flows of all servers of service %s; it is never reached", use.flows, k.Service))
	}
	if guaranteed := use.slots * uint64(k.Share) / 100; flows < guaranteed {
		w.warn(lhcode.LimitsContradict, section, "flows",
			fmt.Sprintf("at least %d, its share of the %d slots of service %s", guaranteed, use.slots, k.Service))
	}
}

// warn adds a warning of a key, or of the section itself if key is empty.
func (w *warner) warn(code lhcode.Code, section sectionRef, key, expected string) {
	w.found = append(w.found, Problem{Code: code, Key: section.key(key), Allowed: expected})
}

// withOrigins returns the warnings with the origin and the text of the value of each, sorted. A
// key that is not written has the origin of the first one of its section.
func (w *warner) withOrigins(origins Origins) Problems {
	values, first := make(map[string]*MergedValue), make(map[string]*MergedValue)
	for i := range origins {
		v := &origins[i]
		values[v.Section+"."+v.Key] = v
		if first[v.Section] == nil {
			first[v.Section] = v
		}
	}
	for i := range w.found {
		p := &w.found[i]
		if v := values[p.Key]; v != nil {
			p.Origin, p.Value = v.Origin, v.Value
		} else if v := first[p.section()]; v != nil {
			p.Origin = v.Origin
		}
	}
	w.found.sort()
	return w.found
}

// allCallers returns the prefix of all addresses of the family of an address.
func allCallers(a netip.Addr) netip.Prefix {
	if a.Unmap().Is4() {
		return netip.PrefixFrom(netip.IPv4Unspecified(), 0)
	}
	return netip.PrefixFrom(netip.IPv6Unspecified(), 0)
}

// covered reports whether prefixes, each of which lies within p, together contain all of p.
func covered(p netip.Prefix, prefixes []netip.Prefix) bool {
	for _, q := range prefixes {
		if q == p {
			return true
		}
	}
	if len(prefixes) < 2 || p.Bits() == p.Addr().BitLen() {
		return false
	}
	low, high := halves(p)
	var lower, upper []netip.Prefix
	for _, q := range prefixes {
		if low.Contains(q.Addr()) {
			lower = append(lower, q)
		} else {
			upper = append(upper, q)
		}
	}
	return covered(low, lower) && covered(high, upper)
}

// halves returns the two prefixes that p consists of. It must not be a single address.
func halves(p netip.Prefix) (low, high netip.Prefix) {
	bits := p.Bits()
	address := p.Addr().AsSlice()
	address[bits/8] |= 0x80 >> (bits % 8)
	upper, _ := netip.AddrFromSlice(address)
	return netip.PrefixFrom(p.Addr(), bits+1), netip.PrefixFrom(upper, bits+1)
}
