package lhplace

// Site is one data centre of a service, as an input of Plan.
type Site struct {
	// Name is the name of the data centre.
	Name string
	// Owners is the number of VMs there that own new flows.
	Owners int
	// Weight is the total weight of the servers there that take new flows.
	Weight float64
}

// Plan returns the fraction of its new flows that a VM in the data centre home
// sends to each site. The fractions add up to 1 if any server takes new flows.
//
// Flows are spread evenly over the owners, and every VM knows from its view and its
// table how many owners and servers each site has. A site keeps its own flows up to
// its fraction of the total weight, and divides the excess over the sites with
// spare capacity, in proportion to it. When every VM follows the plan, each server
// gets flows in proportion to its weight, and no more flows leave their data centre
// than that requires.
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
	var local Site
	spare, totalSpare := make([]float64, len(sites)), 0.0
	for i, s := range sites {
		if s.Name == home {
			local = s
		}
		spare[i] = max(s.Weight/weight-ratio(s.Owners, owners), 0)
		totalSpare += spare[i]
	}
	localFraction := ratio(local.Owners, owners)
	if localFraction == 0 {
		return splitByWeight(parts, sites, weight)
	}
	localPart := min(local.Weight/weight/localFraction, 1)
	for i, s := range sites {
		switch {
		case s.Name == home:
			parts[i] = localPart
		case totalSpare > 0:
			parts[i] = (1 - localPart) * spare[i] / totalSpare
		}
	}
	return parts
}

// splitByWeight divides flows over all servers by weight, for a VM in no site that
// owns flows.
func splitByWeight(parts []float64, sites []Site, weight float64) []float64 {
	for i, s := range sites {
		parts[i] = s.Weight / weight
	}
	return parts
}

func ratio(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}
