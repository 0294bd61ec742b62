package lhstore

import (
	"cmp"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// edit is a change of one declaration; a nil value removes it.
type edit[T any] struct {
	name  string
	value *T
}

// applyChanges returns before with changes to its declarations. Slices without changes
// are shared with before.
func applyChanges(before lhconf.Config, changes []DeclarationChange) lhconf.Config {
	var services []edit[lhconf.Service]
	var servers []edit[lhconf.BackendServer]
	var kinds []edit[lhconf.Kind]
	var dataCentres []edit[lhconf.DataCentre]
	for _, c := range changes {
		if name, ok := strings.CutPrefix(c.Name, servicePrefix); ok {
			services = append(services, edit[lhconf.Service]{name, c.Service})
		} else if name, ok := strings.CutPrefix(c.Name, serverPrefix); ok {
			servers = append(servers, edit[lhconf.BackendServer]{name, c.Server})
		} else if name, ok := strings.CutPrefix(c.Name, kindPrefix); ok {
			kinds = append(kinds, edit[lhconf.Kind]{name, c.Kind})
		} else if name, ok := strings.CutPrefix(c.Name, dataCentrePrefix); ok {
			dataCentres = append(dataCentres, edit[lhconf.DataCentre]{name, c.DataCentre})
		}
	}
	before.Services = applyEdits(before.Services, services, func(v *lhconf.Service) string { return v.Name })
	before.Servers = applyEdits(before.Servers, servers, func(v *lhconf.BackendServer) string { return v.Name })
	before.Kinds = applyEdits(before.Kinds, kinds, func(v *lhconf.Kind) string { return v.Name })
	before.DataCentres = applyEdits(before.DataCentres, dataCentres, func(v *lhconf.DataCentre) string { return v.Name })
	return before
}

// applyEdits returns before, which is sorted by name, with edits made.
func applyEdits[T any](before []T, edits []edit[T], name func(*T) string) []T {
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

// interner interns strings that occur in many declarations, so that each is stored once.
type interner map[string]string

// addTo adds a declaration to a configuration.
func (in interner) addTo(config *lhconf.Config, d Declaration) {
	switch {
	case d.Service != nil:
		s := *d.Service
		s.Name = in.intern(s.Name)
		config.Services = append(config.Services, s)
	case d.Server != nil:
		s := *d.Server
		s.Service, s.DataCentre = in.intern(s.Service), in.intern(s.DataCentre)
		config.Servers = append(config.Servers, s)
	case d.Kind != nil:
		k := *d.Kind
		k.Service = in.intern(k.Service)
		config.Kinds = append(config.Kinds, k)
	case d.DataCentre != nil:
		v := *d.DataCentre
		v.Name = in.intern(v.Name)
		config.DataCentres = append(config.DataCentres, v)
	}
}

func (in interner) intern(s string) string {
	if interned, ok := in[s]; ok {
		return interned
	}
	in[s] = s
	return s
}
