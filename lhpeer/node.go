package lhpeer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhkey"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

const (
	// ticksPerPeriod is how often a node looks for due decisions in a period.
	ticksPerPeriod = 10
	// stopTimeout limits how long a node that ends waits for its server.
	stopTimeout = time.Second
	// headerTimeout limits how long a peer may take to send a request's header.
	headerTimeout = 5 * time.Second
)

// Records takes in the records of flows that other members hand over.
type Records interface {
	Take(from lhflow.MemberID, batch []lhflow.Record)
}

// Configs is the configuration in force on this VM.
type Configs interface {
	// Revision returns what is in force; the zero Revision before there is any.
	Revision() Revision
	// Content returns what a VM that has one revision needs to get to another
	// or a later one: a difference or the whole, as Accept understands it.
	Content(ctx context.Context, have, want uint64) (revision uint64, content []byte, err error)
	// Accept puts content of a peer in force if its revision is higher.
	Accept(ctx context.Context, revision uint64, content []byte) error
}

// Settings are what a Node is made of. Zero fields stand for defaults, or for
// something that the node does without.
type Settings struct {
	// Self describes this VM. Its ID and state are chosen by the node; a Control
	// port of 0 is replaced by the one that the system gives.
	Self lhflow.Member
	// Contacts are control addresses of some members of the group.
	Contacts []netip.AddrPort
	Timing   Timing
	// Budget limits control traffic in bytes per second; 0 is DefaultBudget.
	Budget int
	// Records is nil where a VM has nothing to hand over; the node then says so
	// itself to each member that joins.
	Records Records
	Configs Configs
	// Clock returns the VM's monotonic time; nil counts from the start of the node.
	Clock func() time.Duration
	// Dial opens connections to peers; nil is the system's way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Keys prove to peers that this VM belongs to the group, and let it ask the
	// same of them; nil is cleartext, in which anyone may take part.
	Keys *lhkey.Credentials
	Log  zerolog.Logger
}

// Node takes part in a group on behalf of a VM.
type Node struct {
	settings  Settings
	budget    *budget
	transport *transport
	onView    []func(*lhflow.View)
	// shown is the view that onView was last called with; only loop uses it.
	shown *lhflow.View
	// view is the newest, for readers that take no lock.
	view atomic.Pointer[lhflow.View]
	// wake asks loop to look for due decisions at once.
	wake chan struct{}
	// ends receives one value at the end of each goroutine that loop has started.
	ends   chan end
	counts nodeCounts

	// mu guards the fields below.
	mu     sync.Mutex
	member *Membership
	// newer is where a higher revision was seen; its zero value when nowhere.
	newer source
	// fetching is set while a fetch runs.
	fetching bool
	// excuses holds when to tell a joining member next that there is nothing to
	// hand over to it.
	excuses map[lhflow.MemberID]time.Duration
}

// NewNode returns a node that takes part once Run has been called.
func NewNode(s Settings) *Node {
	s.Timing = s.Timing.filled()
	if s.Clock == nil {
		started := time.Now()
		s.Clock = func() time.Duration { return time.Since(started) }
	}
	b := newBudget(s.Budget)
	return &Node{
		settings:  s,
		budget:    b,
		transport: newTransport(b, s.Keys, s.Dial),
		wake:      make(chan struct{}, 1),
		ends:      make(chan end),
		member:    &Membership{},
		excuses:   make(map[lhflow.MemberID]time.Duration),
	}
}

// OnView has f called with each new view, one after the other. It is to be
// called before Run.
func (n *Node) OnView(f func(*lhflow.View)) { n.onView = append(n.onView, f) }

// Run joins the group and takes part until ctx ends. The channel receives one
// value, the error that ended the node, nil if it was ctx.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	listener, err := net.Listen("tcp", n.settings.Self.Control.String())
	if err != nil {
		done <- lhcode.Wrap(lhcode.PeerUnreachable, err, "listening for peers")
		return done
	}
	n.settings.Self.Control = listener.Addr().(*net.TCPAddr).AddrPort()
	n.join()
	go func() { done <- n.run(ctx, listener) }()
	return done
}

// run serves peers and takes decisions until ctx ends or the server fails.
func (n *Node) run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := n.server()
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(n.secure(&countedListener{Listener: listener, budget: n.budget}))
		cancel()
	}()
	n.loop(ctx)
	stopping, stop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer stop()
	// A peer that keeps its request open past the timeout is cut off.
	if server.Shutdown(stopping) != nil {
		_ = server.Close()
	}
	n.transport.close()
	if err := <-served; err != http.ErrServerClosed {
		return lhcode.Wrap(lhcode.PeerUnreachable, err, "serving peers")
	}
	return nil
}

// secure returns a listener that lets in VMs of the group only, if there are keys.
func (n *Node) secure(listener net.Listener) net.Listener {
	if n.settings.Keys == nil {
		return listener
	}
	return tls.NewListener(listener, n.settings.Keys.ServerConfig())
}

func (n *Node) server() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(lhpeerv1.NewPeerServiceHandler(
		&handler{node: n},
		connect.WithCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessage),
	))
	server := &http.Server{
		Handler:           mux,
		Protocols:         protocols(n.settings.Keys),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
	}
	if n.settings.Keys != nil {
		server.Handler = authenticated(n.settings.Keys, mux)
		server.ErrorLog = n.settings.Keys.ErrorLog()
	}
	return server
}

// join begins to take part.
func (n *Node) join() {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := n.settings.Self
	self.ID = NewMemberID(time.Now(), 0, rng)
	n.mu.Lock()
	defer n.mu.Unlock()
	contacts := slices.Clone(n.settings.Contacts)
	for _, c := range n.member.contacts {
		contacts = append(contacts, c.control)
	}
	n.member = Join(n.settings.Clock(), self, contacts, n.settings.Timing, rng)
	n.view.Store(n.member.View())
}

// View returns the newest view; nil before Run.
func (n *Node) View() *lhflow.View { return n.view.Load() }

// Unreachable returns the members that can't be reached but may come back, with
// times of Settings.Clock.
func (n *Node) Unreachable() []Absence {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member.Unreachable()
}

// Listed adds control addresses that the platform lists.
func (n *Node) Listed(contacts []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member.Listed(contacts)
}

// Leave begins a planned stop: the VM goes on owning its flows until Left.
func (n *Node) Leave() {
	n.mu.Lock()
	n.member.Leave()
	n.mu.Unlock()
	n.nudge()
}

// Left ends a planned stop, once the VM has handed over, and returns when it has
// told some members. The node goes on answering until the context of Run ends.
func (n *Node) Left(ctx context.Context) {
	n.mu.Lock()
	n.member.Left()
	requests := n.member.Farewell()
	n.mu.Unlock()
	told := make(chan struct{})
	for _, r := range requests {
		go func() {
			n.exchange(ctx, r, n.settings.Timing.Probe)
			told <- struct{}{}
		}()
	}
	for range requests {
		<-told
	}
	n.nudge()
}
