package lhops

import (
	"context"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Service is the operations API of an entry process.
type Service interface {
	// Dump returns the state of the process, limited to one service unless service
	// is empty. The error has the code lhcode.NotFound if there is no such service.
	Dump(ctx context.Context, service string) (Dump, error)
	// Status returns a summary of the state.
	Status(ctx context.Context) (Status, error)
	// Health tells whether the fabric should send packets to the VM.
	Health(ctx context.Context) (Health, error)
}

// The maximum numbers of entries in one dump.
const (
	maxMembers  = 256
	maxServices = 500
	maxServers  = 2000
	maxWork     = 1000
)

// sourceService implements Service with a Source.
type sourceService struct {
	source Source
}

// NewService returns the Service that reports the state of source.
func NewService(source Source) Service { return sourceService{source} }

func (s sourceService) Dump(_ context.Context, service string) (Dump, error) {
	d := s.source.Dump()
	if service == "" {
		return d.truncated(), nil
	}
	i := slices.IndexFunc(d.Services, func(v ServiceState) bool { return v.Name == service })
	if i < 0 {
		return Dump{}, lhcode.Newf(lhcode.NotFound, "no service %q in revision %d", service, d.Revision)
	}
	d.Services = d.Services[i : i+1]
	d.Work = slices.DeleteFunc(slices.Clone(d.Work), func(w WorkState) bool { return w.Service != service })
	return d.truncated(), nil
}

func (s sourceService) Status(context.Context) (Status, error) {
	return s.source.Dump().Status(), nil
}

func (s sourceService) Health(context.Context) (Health, error) {
	return s.source.Health(), nil
}

// truncated returns the dump with each list truncated to its maximum length.
func (d Dump) truncated() Dump {
	d.Members = truncate(d.Members, maxMembers, &d.Omitted)
	d.Work = truncate(d.Work, maxWork, &d.Omitted)
	d.Services = slices.Clone(truncate(d.Services, maxServices, &d.Omitted))
	remaining := maxServers
	for i := range d.Services {
		s := &d.Services[i]
		s.Servers = truncate(s.Servers, remaining, &d.Omitted)
		remaining -= len(s.Servers)
	}
	return d
}

// truncate returns the first limit entries of a list and adds the number of others
// to omitted.
func truncate[T any](list []T, limit int, omitted *int) []T {
	if len(list) <= limit {
		return list
	}
	*omitted += len(list) - limit
	return list[:limit]
}
