package lhmark

import "sync"

const (
	// shedFraction is the fraction of the usual size of a route's answers below which an answer
	// counts as shed: it has no body. Fewer answers with a body are that small.
	shedFraction = 1. / 3
	// maxShedSize is the largest size in bytes of an answer without a body: a status line and
	// some headers.
	maxShedSize = 512
	// sizeWeight is the weight of the latest answer in the usual size, and largerWeight that of
	// one above it: a VM that starts while servers shed sees mostly small answers.
	sizeWeight, largerWeight = 1. / 256, 1. / 2
	// maxSizedRoutes is how many routes are remembered; all are forgotten at that number, as
	// routes that were removed are among them.
	maxSizedRoutes = 4096
	// shedWindow is the number of latest answers of a service by which overload is told: some
	// of each server, as one that sheds is at fault itself if the others don't.
	shedWindow = 256
	// minShedding is the number of servers that have to shed for overload, and
	// sheddingFraction their least fraction of the servers that answer.
	minShedding      = 3
	sheddingFraction = 0.25
)

// shedMonitor tells from the answers of a service whether its servers shed work because there
// is too much. A server that sheds a request answers without a body, sooner or later. The zero
// shedMonitor has seen no answer.
type shedMonitor struct {
	mu sync.Mutex
	// sizes is the usual size of answers in bytes, by route.
	sizes map[string]float64
	// answers holds the latest answers; count of them are valid, and the oldest is at next.
	answers     [shedWindow]shedAnswer
	count, next int
	// servers holds what of them each server has given; shedding counts the servers that
	// have shed.
	servers  map[uint32]serverAnswers
	shedding int
}

// shedAnswer is an answer of a server.
type shedAnswer struct {
	server uint32
	shed   bool
}

// serverAnswers counts answers of a server, and those that it has shed among them.
type serverAnswers struct{ all, shed int }

// record records the answer of a server with its size in bytes. It reports whether the server has
// shed the request, and whether that shows that the service has too much work. Sizes are learned
// only while it is calm.
func (m *shedMonitor) record(route string, server, size uint32, calm bool) (shed, overload bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	shed = size <= maxShedSize && float64(size) < shedFraction*m.sizes[route]
	if calm {
		m.recordSize(route, float64(size))
	}
	if m.count == shedWindow {
		m.add(m.answers[m.next], -1)
	}
	m.answers[m.next] = shedAnswer{server, shed}
	m.add(m.answers[m.next], 1)
	m.next = (m.next + 1) % shedWindow
	m.count = min(m.count+1, shedWindow)
	return shed, shed && m.shedding >= minShedding && float64(m.shedding) >= sheddingFraction*float64(len(m.servers))
}

// recordSize updates the usual size of a route's answers.
func (m *shedMonitor) recordSize(route string, size float64) {
	if m.sizes == nil || len(m.sizes) >= maxSizedRoutes {
		m.sizes = make(map[string]float64)
	}
	usual, known := m.sizes[route]
	if !known {
		usual = size
	}
	weight := sizeWeight
	if size > usual {
		weight = largerWeight
	}
	m.sizes[route] = usual + weight*(size-usual)
}

// add adds an answer to the counts of its server, or removes it.
func (m *shedMonitor) add(a shedAnswer, n int) {
	if m.servers == nil {
		m.servers = make(map[uint32]serverAnswers)
	}
	s := m.servers[a.server]
	before := s.shed > 0
	if s.all += n; a.shed {
		s.shed += n
	}
	switch after := s.shed > 0; {
	case after && !before:
		m.shedding++
	case before && !after:
		m.shedding--
	}
	if s.all == 0 {
		delete(m.servers, a.server)
		return
	}
	m.servers[a.server] = s
}
