package lhplace

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Service is a service with its servers and kinds of work. It is immutable.
type Service struct {
	declared *lhconf.Service
	// index is the service's position in the list of its Table.
	index int
	// servers is sorted by number.
	servers []*Server
	// kinds is sorted by descending length of prefix.
	kinds []*Kind
	// evacuated is set if there are servers that would take new flows, all of them in
	// evacuated data centres.
	evacuated bool
}

// Name returns the declared name.
func (s *Service) Name() string { return s.declared.Name }

// Detached returns a copy without servers and kinds, which does not keep its table in memory.
func (s *Service) Detached() *Service {
	declared := *s.declared
	return &Service{declared: &declared, index: s.index}
}

// Index returns the service's position in the list of its Table.
func (s *Service) Index() int { return s.index }

// Address returns the address and port that callers connect to.
func (s *Service) Address() netip.AddrPort { return s.declared.Address }

// Proto returns the protocol of the service's flows.
func (s *Service) Proto() lhflow.Proto { return s.declared.Proto }

// Warmup returns how long a server is cold after it begins to take flows.
func (s *Service) Warmup() time.Duration { return s.declared.Warmup }

// Starts returns the number of new flows a second that a cold server bears; 0 means no limit.
func (s *Service) Starts() float64 { return s.declared.Starts }

// Servers returns the service's servers in ascending order of their numbers. The
// slice must not be modified.
func (s *Service) Servers() []*Server { return s.servers }

// Kinds returns the service's kinds of work, the longest caller prefix first. The
// slice must not be modified.
func (s *Service) Kinds() []*Kind { return s.kinds }

// KindOf returns the kind with the longest prefix that contains the caller, or nil
// if the service has no such kind.
func (s *Service) KindOf(caller [16]byte) *Kind {
	a := netip.AddrFrom16(caller).Unmap()
	for _, k := range s.kinds {
		if k.matches(a) {
			return k
		}
	}
	return nil
}

// listensOn reports whether the service has the address, port and protocol.
func (s *Service) listensOn(address [16]byte, port uint16, proto lhflow.Proto) bool {
	a := s.declared.Address
	return a.Port() == port && a.Addr().As16() == address && s.declared.Proto == proto
}

// Kind is a kind of work of one service. It is immutable.
type Kind struct {
	declared *lhconf.Kind
	// number is unique within a Table and never 0.
	number uint16
}

// Detached returns a copy that does not keep its table in memory.
func (k *Kind) Detached() *Kind {
	declared := *k.declared
	return &Kind{declared: &declared, number: k.number}
}

// Number returns the number that is stored in flow records.
func (k *Kind) Number() uint16 { return k.number }

// Name returns the declared name.
func (k *Kind) Name() string { return k.declared.Name }

// Urgency returns the urgency of the kind; one with a higher urgency is refused later.
func (k *Kind) Urgency() lhconf.Urgency { return k.declared.Urgency }

// Share returns the guaranteed fraction of the service's capacity, from 0 to 1.
func (k *Kind) Share() float64 { return float64(k.declared.Share) / 100 }

// Flows returns the maximum number of flows in the whole group; 0 means no limit.
func (k *Kind) Flows() uint32 { return k.declared.Flows }

func (k *Kind) matches(a netip.Addr) bool {
	p := k.declared.Callers
	return !p.IsValid() || p.Contains(a)
}

// prefixLength returns the length of the kind's caller prefix; -1 for all callers.
func (k *Kind) prefixLength() int { return k.declared.Callers.Bits() }

// numberKinds returns a number for each kind that depends only on names. Of two
// names with the same hash, the one that sorts later takes the next free number.
func numberKinds(kinds []lhconf.Kind) []uint16 {
	names, order := make([]string, len(kinds)), make([]int, len(kinds))
	for i := range kinds {
		names[i], order[i] = kinds[i].Service+"/"+kinds[i].Name, i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(names[a], names[b]) })
	numbers := make([]uint16, len(kinds))
	var taken [1 << 16]bool
	for _, i := range order {
		h := hash16(names[i])
		for h == 0 || taken[h] {
			h++
		}
		numbers[i], taken[h] = h, true
	}
	return numbers
}

// hash16 folds the 32-bit FNV-1a hash of s.
func hash16(s string) uint16 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return uint16(h>>16) ^ uint16(h)
}
