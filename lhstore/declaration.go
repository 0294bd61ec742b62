package lhstore

import (
	"cmp"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Declaration is one service, backend server or kind of work, as the merged files
// declare it and with the number that the server was given. It is never changed
// after it has been built. Exactly one field is set, and none where it was removed.
type Declaration struct {
	Service *lhconf.Service       `json:"service,omitempty"`
	Server  *lhconf.BackendServer `json:"server,omitempty"`
	Kind    *lhconf.Kind          `json:"kind,omitempty"`
}

// DeclarationChange is a declaration as a revision left it.
type DeclarationChange struct {
	// Name is unique among all declarations of a configuration.
	Name string `json:"name"`
	Declaration
}

// declarations returns what a configuration declares, by name.
func declarations(config lhconf.Config) map[string]Declaration {
	all := make(map[string]Declaration, len(config.Services)+len(config.Servers)+len(config.Kinds))
	for _, s := range config.Services {
		all["service "+s.Name] = Declaration{Service: &s}
	}
	for _, b := range config.Servers {
		all["server "+b.Name] = Declaration{Server: &b}
	}
	for _, k := range config.Kinds {
		all["kind "+k.Name] = Declaration{Kind: &k}
	}
	return all
}

// removed reports whether nothing is declared.
func (d Declaration) removed() bool { return d == Declaration{} }

func (d Declaration) equal(e Declaration) bool {
	return same(d.Service, e.Service) && same(d.Server, e.Server) && same(d.Kind, e.Kind)
}

// addTo adds the declaration to a configuration.
func (d Declaration) addTo(config *lhconf.Config) {
	switch {
	case d.Service != nil:
		config.Services = append(config.Services, *d.Service)
	case d.Server != nil:
		config.Servers = append(config.Servers, *d.Server)
	case d.Kind != nil:
		config.Kinds = append(config.Kinds, *d.Kind)
	}
}

func same[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// sortConfig orders what a configuration declares by name, as merging files does.
func sortConfig(config *lhconf.Config) {
	slices.SortFunc(config.Services, func(a, b lhconf.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.Servers, func(a, b lhconf.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.Kinds, func(a, b lhconf.Kind) int { return cmp.Compare(a.Name, b.Name) })
}
