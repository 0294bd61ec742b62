package lhwork

// Claim is the claim of one kind of work on a capacity.
type Claim struct {
	// Share is the guaranteed fraction, from 0 to 1.
	Share float64
	// Urgency is the priority of the claim on unused capacity.
	Urgency uint8
	// Demand is how much of the capacity the kind would use.
	Demand float64
	// Grant is set by Allocate: how much the kind may use.
	Grant float64
}

// Allocate sets the grant of each claim. Every claim is granted its demand up to its
// share. Unused capacity goes to the most urgent claims first; claims of the same
// urgency are filled evenly in proportion to their shares (max-min fairness). The
// grants add up to the capacity at most.
func Allocate(capacity float64, claims []Claim) {
	left := capacity
	for i := range claims {
		c := &claims[i]
		c.Grant = min(c.Demand, c.Share*capacity)
		left -= c.Grant
	}
	for left > 0 {
		urgency, found := mostUrgent(claims)
		if !found {
			return
		}
		left = raise(left, urgency, claims)
	}
}

// mostUrgent returns the highest urgency among the claims with unmet demand.
func mostUrgent(claims []Claim) (urgency uint8, found bool) {
	for i := range claims {
		c := &claims[i]
		if c.unmet() && (!found || c.Urgency > urgency) {
			urgency, found = c.Urgency, true
		}
	}
	return urgency, found
}

// raise increases the grants of one urgency evenly until the demand of one of them
// is met or the capacity is used up. It returns the remaining capacity.
func raise(left float64, urgency uint8, claims []Claim) float64 {
	weights, step := 0.0, left
	for i := range claims {
		if c := &claims[i]; c.Urgency == urgency && c.unmet() {
			weights += c.weight()
		}
	}
	step /= weights
	for i := range claims {
		if c := &claims[i]; c.Urgency == urgency && c.unmet() {
			step = min(step, (c.Demand-c.Grant)/c.weight())
		}
	}
	for i := range claims {
		c := &claims[i]
		if c.Urgency != urgency || !c.unmet() {
			continue
		}
		increase := step * c.weight()
		left -= increase
		if c.Grant += increase; c.Demand-c.Grant < grantEpsilon {
			c.Grant = c.Demand
		}
	}
	if left < grantEpsilon {
		return 0
	}
	return left
}

// grantEpsilon is the smallest difference that Allocate distinguishes.
const grantEpsilon = 1e-9

// minClaimWeight is the weight of a claim without a share.
const minClaimWeight = 0.01

func (c *Claim) unmet() bool { return c.Demand > c.Grant }

func (c *Claim) weight() float64 { return max(c.Share, minClaimWeight) }
