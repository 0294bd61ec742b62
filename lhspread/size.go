package lhspread

import "math"

const (
	// smallestCores and smallestLink are the processor, in cores, and the link, in Mbit/s, of
	// the smallest VM that a size distinguishes.
	smallestCores = 1. / 64
	smallestLink  = 1
	// sizeFactor is the ratio of two VMs whose sizes differ by one. Below it a VM has no room
	// worth a change of the order, which spreads the work of VMs that are about equal.
	sizeFactor = 2
)

// Size returns the class of a VM by its processor, in cores, and its link, in Mbit/s: the
// geometric mean of both, in steps of sizeFactor, from 1. It is 0 if one of them is not known.
func Size(cores, link float64) int {
	if cores <= 0 || link <= 0 {
		return 0
	}
	mean := math.Sqrt(max(cores/smallestCores, 1) * max(link/smallestLink, 1))
	return 1 + int(math.Log(mean)/math.Log(sizeFactor))
}
