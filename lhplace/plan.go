package lhplace

// Site is one data centre of a service as Plan sees it.
type Site struct {
	// Name is the name of the data centre.
	Name string
	// Owners is how many VMs there own new flows.
	Owners int
	// Weight is the summed weight of the servers there that take new flows.
	Weight float64
}

// Plan returns the part of its new flows that a VM in the data centre home sends
// to each site; the parts add up to 1 where any server takes new flows.
//
// Flows are spread evenly over the owners, and every VM knows from its view and
// its table how many owners and servers each site has. A site keeps its own flows
// up to its part of the servers' weight, and what is above goes to the sites with
// room, in proportion to their room. When every VM follows the plan, each server
// gets its weight's part of all flows, and no more flows leave their data centre
// than that needs.
func Plan(home string, sites []Site) []float64 {
	parts := make([]float64, len(sites))
	owners, weight := 0, 0.0
	for _, s := range sites {
		owners += s.Owners
		weight += s.Weight
	}
	if weight <= 0 {
		return parts
	}
	var own Site
	rooms, room := make([]float64, len(sites)), 0.0
	for i, s := range sites {
		if s.Name == home {
			own = s
		}
		rooms[i] = max(s.Weight/weight-portion(s.Owners, owners), 0)
		room += rooms[i]
	}
	arriving := portion(own.Owners, owners)
	if arriving == 0 {
		return byWeight(parts, sites, weight)
	}
	kept := min(own.Weight/weight/arriving, 1)
	for i, s := range sites {
		switch {
		case s.Name == home:
			parts[i] = kept
		case room > 0:
			parts[i] = (1 - kept) * rooms[i] / room
		}
	}
	return parts
}

// byWeight spreads flows over all servers; for a VM that stands in no site.
func byWeight(parts []float64, sites []Site, weight float64) []float64 {
	for i, s := range sites {
		parts[i] = s.Weight / weight
	}
	return parts
}

func portion(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}
