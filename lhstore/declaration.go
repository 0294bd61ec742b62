package lhstore

import (
	"cmp"
	"iter"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// What the names of declarations begin with.
const (
	serviceName = "service "
	serverName  = "server "
	kindName    = "kind "
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

// declarationName is the name of a declaration in its two parts, which need not be
// joined to find its page.
type declarationName struct{ sort, name string }

// String returns the whole name.
func (n declarationName) String() string { return n.sort + n.name }

// page returns the index of the declaration's page.
func (n declarationName) page() int {
	return int(hashName(hashName(hashStart, n.sort), n.name) % PageCount)
}

// declarations yields what a configuration declares, by name.
func declarations(config *lhconf.Config) iter.Seq2[declarationName, Declaration] {
	return func(yield func(declarationName, Declaration) bool) {
		for i := range config.Services {
			if d := &config.Services[i]; !yield(declarationName{serviceName, d.Name}, Declaration{Service: d}) {
				return
			}
		}
		for i := range config.Servers {
			if d := &config.Servers[i]; !yield(declarationName{serverName, d.Name}, Declaration{Server: d}) {
				return
			}
		}
		for i := range config.Kinds {
			if d := &config.Kinds[i]; !yield(declarationName{kindName, d.Name}, Declaration{Kind: d}) {
				return
			}
		}
	}
}

// removed reports whether nothing is declared.
func (d Declaration) removed() bool { return d == Declaration{} }

func (d Declaration) equal(e Declaration) bool {
	return same(d.Service, e.Service) && same(d.Server, e.Server) && same(d.Kind, e.Kind)
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
