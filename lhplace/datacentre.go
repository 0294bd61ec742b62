package lhplace

import "github.com/laburnumhollow/laburnumhollow/lhconf"

// evacuatedNames returns the names of the evacuated data centres.
func evacuatedNames(declared []lhconf.DataCentre) map[string]bool {
	names := make(map[string]bool)
	for _, d := range declared {
		if d.Evacuated {
			names[d.Name] = true
		}
	}
	return names
}

// Evacuation is an evacuated data centre and its backend servers.
type Evacuation struct {
	DataCentre string
	Servers    []*Server
}

// Evacuations returns the evacuated data centres in the order of their names.
func (t *Table) Evacuations() []Evacuation {
	var list []Evacuation
	index := make(map[string]int)
	for _, d := range t.declared.DataCentres {
		if d.Evacuated {
			index[d.Name] = len(list)
			list = append(list, Evacuation{DataCentre: d.Name})
		}
	}
	if len(list) == 0 {
		return nil
	}
	for i := range t.servers {
		if at, ok := index[t.servers[i].DataCentre()]; ok {
			list[at].Servers = append(list[at].Servers, &t.servers[i])
		}
	}
	return list
}

// Evacuated reports whether the service has no server that takes new flows only because data
// centres are evacuated.
func (s *Service) Evacuated() bool { return s.evacuated }

// hasEvacuatedServersOnly computes Evacuated.
func (s *Service) hasEvacuatedServersOnly() bool {
	withheld := false
	for _, server := range s.servers {
		if server.Serving() {
			return false
		}
		withheld = withheld || server.evacuated && server.declared.State == lhconf.Serving
	}
	return withheld
}
