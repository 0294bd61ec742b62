package lhstore

import (
	"cmp"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// edit is a change of one declaration of a sort; a nil value removes it.
type edit[T any] struct {
	name  string
	value *T
}

// edited returns what before declares with changes made. It shares the slices in
// which nothing changes.
func edited(before lhconf.Config, changes []DeclarationChange) lhconf.Config {
	var services []edit[lhconf.Service]
	var servers []edit[lhconf.BackendServer]
	var kinds []edit[lhconf.Kind]
	for _, c := range changes {
		if name, ok := strings.CutPrefix(c.Name, serviceName); ok {
			services = append(services, edit[lhconf.Service]{name, c.Service})
		} else if name, ok := strings.CutPrefix(c.Name, serverName); ok {
			servers = append(servers, edit[lhconf.BackendServer]{name, c.Server})
		} else if name, ok := strings.CutPrefix(c.Name, kindName); ok {
			kinds = append(kinds, edit[lhconf.Kind]{name, c.Kind})
		}
	}
	before.Services = apply(before.Services, services, func(v *lhconf.Service) string { return v.Name })
	before.Servers = apply(before.Servers, servers, func(v *lhconf.BackendServer) string { return v.Name })
	before.Kinds = apply(before.Kinds, kinds, func(v *lhconf.Kind) string { return v.Name })
	return before
}

// apply returns before, which is sorted by name, with edits made.
func apply[T any](before []T, edits []edit[T], name func(*T) string) []T {
	if len(edits) == 0 {
		return before
	}
	slices.SortStableFunc(edits, func(a, b edit[T]) int { return cmp.Compare(a.name, b.name) })
	after := make([]T, 0, len(before)+len(edits))
	for _, e := range edits {
		at, found := slices.BinarySearchFunc(before, e.name, func(v T, want string) int { return cmp.Compare(name(&v), want) })
		after = append(after, before[:at]...)
		if before = before[at:]; found {
			before = before[1:]
		}
		if e.value != nil {
			after = append(after, *e.value)
		}
	}
	return append(after, before...)
}

// words holds strings that many declarations share, so that each is kept once.
type words map[string]string

// addTo adds a declaration to a configuration.
func (w words) addTo(config *lhconf.Config, d Declaration) {
	switch {
	case d.Service != nil:
		s := *d.Service
		s.Name = w.shared(s.Name)
		config.Services = append(config.Services, s)
	case d.Server != nil:
		s := *d.Server
		s.Service, s.DataCentre = w.shared(s.Service), w.shared(s.DataCentre)
		config.Servers = append(config.Servers, s)
	case d.Kind != nil:
		k := *d.Kind
		k.Service = w.shared(k.Service)
		config.Kinds = append(config.Kinds, k)
	}
}

func (w words) shared(s string) string {
	if kept, ok := w[s]; ok {
		return kept
	}
	w[s] = s
	return s
}
