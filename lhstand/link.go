package lhstand

import (
	"math/rand/v2"
	"sync"
)

// Faults are what a link does to packets: each is a probability from 0 to 1.
type Faults struct {
	Loss      float64
	Duplicate float64
	// Reorder is the probability that a packet is sent after the next one.
	Reorder float64
}

// link applies faults to the packets of one direction.
type link struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	// held is a packet that waits for the next one; nil for none.
	held []byte
}

func newLink(seed uint64) *link {
	return &link{rng: rand.New(rand.NewPCG(seed, 1))}
}

func (l *link) setFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// pass calls send for the packets that go on now: none, one, or several.
func (l *link) pass(packet []byte, send func([]byte)) {
	for _, p := range l.choose(packet) {
		send(p)
	}
}

func (l *link) choose(packet []byte) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults == (Faults{}) && l.held == nil {
		return [][]byte{packet}
	}
	if l.rng.Float64() < l.faults.Loss {
		return nil
	}
	if l.held == nil && l.rng.Float64() < l.faults.Reorder {
		l.held = append([]byte(nil), packet...)
		return nil
	}
	packets := [][]byte{packet}
	if l.rng.Float64() < l.faults.Duplicate {
		packets = append(packets, packet)
	}
	if l.held != nil {
		packets = append(packets, l.held)
		l.held = nil
	}
	return packets
}
