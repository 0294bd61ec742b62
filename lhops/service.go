package lhops

import (
	"context"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Service is what operators may ask of an entry process.
type Service interface {
	// Dump returns the state of the process, limited to one service unless
	// service is empty. The error has lhcode.NotFound if there is none of that name.
	Dump(ctx context.Context, service string) (Dump, error)
	// Status returns the state at a glance.
	Status(ctx context.Context) (Status, error)
	// Health says whether the fabric should hand packets to the VM.
	Health(ctx context.Context) (Health, error)
}

// The largest numbers of entries in one dump.
const (
	maxMembers  = 256
	maxServices = 500
	maxServers  = 2000
	maxWork     = 1000
)

// sourceService answers from a Source.
type sourceService struct {
	source Source
}

// NewService returns the Service of a process.
func NewService(source Source) Service { return sourceService{source} }

func (s sourceService) Dump(_ context.Context, service string) (Dump, error) {
	d := s.source.Dump()
	if service == "" {
		return d.bounded(), nil
	}
	i := slices.IndexFunc(d.Services, func(v ServiceState) bool { return v.Name == service })
	if i < 0 {
		return Dump{}, lhcode.Newf(lhcode.NotFound, "no service %q in revision %d", service, d.Revision)
	}
	d.Services = d.Services[i : i+1]
	d.Work = slices.DeleteFunc(slices.Clone(d.Work), func(w WorkState) bool { return w.Service != service })
	return d.bounded(), nil
}

func (s sourceService) Status(context.Context) (Status, error) {
	return s.source.Dump().Status(), nil
}

func (s sourceService) Health(context.Context) (Health, error) {
	return s.source.Health(), nil
}

// bounded returns the dump with the first entries of each list that is too long.
func (d Dump) bounded() Dump {
	d.Members = cut(d.Members, maxMembers, &d.Omitted)
	d.Work = cut(d.Work, maxWork, &d.Omitted)
	d.Services = slices.Clone(cut(d.Services, maxServices, &d.Omitted))
	room := maxServers
	for i := range d.Services {
		s := &d.Services[i]
		s.Servers = cut(s.Servers, room, &d.Omitted)
		room -= len(s.Servers)
	}
	return d
}

// cut returns the first entries of a list and adds the number of others to omitted.
func cut[T any](list []T, limit int, omitted *int) []T {
	if len(list) <= limit {
		return list
	}
	*omitted += len(list) - limit
	return list[:limit]
}
