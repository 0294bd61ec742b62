package lhmark

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simulation runs events in virtual time, which begins at a minute.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	events eventQueue
}

func newSimulation(seed1, seed2 uint64) simulation {
	return simulation{random: rand.New(rand.NewPCG(seed1, seed2)), now: time.Minute}
}

// after calls a function after a delay.
func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.events, event{s.now + d, do}) }

// run processes events until a time.
func (s *simulation) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// poisson calls a function at random times with a mean rate per second.
func (s *simulation) poisson(rate float64, until time.Duration, do func()) {
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now < until {
			do()
			s.poisson(rate, until, do)
		}
	})
}

type event struct {
	at time.Duration
	do func()
}

type eventQueue []event

func (s eventQueue) Len() int           { return len(s) }
func (s eventQueue) Less(i, j int) bool { return s[i].at < s[j].at }
func (s eventQueue) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)        { *s = append(*s, x.(event)) }
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}
