package lhstore

import (
	"cmp"
	"iter"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Prefixes of the names of declarations.
const (
	servicePrefix = "service "
	serverPrefix  = "server "
	kindPrefix    = "kind "

	dataCentrePrefix = "datacentre "
)

// Declaration is a service, backend server, kind of work or data centre from the merged files, with
// the number assigned to a server. It is immutable. Exactly one field is set, or none
// if the declaration was removed.
type Declaration struct {
	Service *lhconf.Service       `json:"service,omitempty"`
	Server  *lhconf.BackendServer `json:"server,omitempty"`
	Kind    *lhconf.Kind          `json:"kind,omitempty"`

	DataCentre *lhconf.DataCentre `json:"datacentre,omitempty"`
}

// DeclarationChange is the state of a declaration after a change.
type DeclarationChange struct {
	// Name is unique among the declarations of a configuration.
	Name string `json:"name"`
	Declaration
}

// declarationName is the name of a declaration in two parts, so that its page can be
// computed without concatenating them.
type declarationName struct{ prefix, name string }

// String returns the complete name.
func (n declarationName) String() string { return n.prefix + n.name }

// page returns the index of the declaration's page.
func (n declarationName) page() int {
	return int(fnvHash(fnvHash(fnvOffset, n.prefix), n.name) % PageCount)
}

// declarations yields the names and declarations of a configuration.
func declarations(config *lhconf.Config) iter.Seq2[declarationName, Declaration] {
	return func(yield func(declarationName, Declaration) bool) {
		for i := range config.Services {
			if d := &config.Services[i]; !yield(declarationName{servicePrefix, d.Name}, Declaration{Service: d}) {
				return
			}
		}
		for i := range config.Servers {
			if d := &config.Servers[i]; !yield(declarationName{serverPrefix, d.Name}, Declaration{Server: d}) {
				return
			}
		}
		for i := range config.Kinds {
			if d := &config.Kinds[i]; !yield(declarationName{kindPrefix, d.Name}, Declaration{Kind: d}) {
				return
			}
		}
		for i := range config.DataCentres {
			if d := &config.DataCentres[i]; !yield(declarationName{dataCentrePrefix, d.Name}, Declaration{DataCentre: d}) {
				return
			}
		}
	}
}

// removed reports whether the declaration was removed.
func (d Declaration) removed() bool { return d == Declaration{} }

func (d Declaration) equal(e Declaration) bool {
	return equalPointees(d.Service, e.Service) && equalPointees(d.Server, e.Server) && equalPointees(d.Kind, e.Kind) &&
		equalPointees(d.DataCentre, e.DataCentre)
}

func equalPointees[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// sortConfig sorts the declarations of a configuration by name, as merging files does.
func sortConfig(config *lhconf.Config) {
	slices.SortFunc(config.Services, func(a, b lhconf.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.Servers, func(a, b lhconf.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.Kinds, func(a, b lhconf.Kind) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.DataCentres, func(a, b lhconf.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
}
