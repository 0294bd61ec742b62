package lhpace

import "time"

// Declared is an operator's limit on the new flows of one cold server. The zero Declared
// limits nothing.
type Declared struct {
	// PerSecond is the number of new flows a second that a cold server bears; 0 or less if
	// nothing is declared.
	PerSecond float64
	// Overshoot and Slack bound what a cold server may get in any second, summed over all
	// VMs: PerSecond x Overshoot + Slack.
	Overshoot, Slack float64
	// Duration is how long a server stays cold after its start.
	Duration time.Duration
}

// IsSet reports whether a limit is declared.
func (d Declared) IsSet() bool { return d.PerSecond > 0 }

// Bound returns the most new flows that a cold server may get in any second.
func (d Declared) Bound() float64 { return d.PerSecond*d.Overshoot + d.Slack }

// maxParts is the most VMs among which the flows of one cold server are divided. With fewer,
// the server is idle when one of them is gone; with more, a part is small against the flows
// that a VM opens in a second.
const maxParts = 8

// Part returns the new flows that a VM may send to one cold server within WindowLength, by
// its rank among a count of VMs. Ranks start at 0. The parts of all ranks add up to what the
// server bears, at least 1, and never to more than the bound. A VM that counts more VMs or
// has a higher rank has no larger part.
func (d Declared) Part(rank, count int) int {
	total := int(min(max(d.PerSecond, 1), max(d.Bound(), 0)))
	parts := min(total, maxParts, count)
	if rank >= parts {
		return 0
	}
	return (total - rank + parts - 1) / parts
}
