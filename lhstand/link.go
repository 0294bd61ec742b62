package lhstand

import (
	"math/rand/v2"
	"sync"
)

// Faults contains the probabilities, from 0 to 1, of the faults injected into
// packets.
type Faults struct {
	Loss      float64
	Duplicate float64
	// Reorder is the probability that a packet is delayed until after the next one.
	Reorder float64
}

// faultyLink injects faults into the packets of one direction.
type faultyLink struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	// delayed is a reordered packet to be sent after the next one, or nil.
	delayed []byte
}

func newFaultyLink(seed uint64) *faultyLink {
	return &faultyLink{rng: rand.New(rand.NewPCG(seed, 1))}
}

func (l *faultyLink) setFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// forward calls send for each packet to send now: none, one or several.
func (l *faultyLink) forward(packet []byte, send func([]byte)) {
	for _, p := range l.applyFaults(packet) {
		send(p)
	}
}

func (l *faultyLink) applyFaults(packet []byte) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == (Faults{}) && l.delayed == nil {
		return [][]byte{packet}
	}
	if l.rng.Float64() < l.faults.Loss {
		return nil
	}
	if l.delayed == nil && l.rng.Float64() < l.faults.Reorder {
		l.delayed = append([]byte(nil), packet...)
		return nil
	}
	packets := [][]byte{packet}
	if l.rng.Float64() < l.faults.Duplicate {
		packets = append(packets, packet)
	}
	if l.delayed != nil {
		packets = append(packets, l.delayed)
		l.delayed = nil
	}
	return packets
}
