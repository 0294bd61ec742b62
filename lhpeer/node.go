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
	// ticksPerPeriod is how often per period a node runs the decisions that are
	// due.
	ticksPerPeriod = 10
	// stopTimeout limits how long a stopping node waits for its server to shut
	// down.
	stopTimeout = time.Second
	// headerTimeout limits how long a peer may take to send a request header.
	headerTimeout = 5 * time.Second
)

// Records stores the flow records that other members hand over.
type Records interface {
	Receive(from lhflow.MemberID, batch []lhflow.Record)
}

// Configs provides the configuration in force on this VM.
type Configs interface {
	// Revision returns the revision in force, or the zero Revision if there is
	// none.
	Revision() Revision
	// Content returns the data that brings a VM from revision have to revision want
	// or a later one, as a difference or in full, in the encoding that Accept
	// reads.
	Content(ctx context.Context, have, want uint64) (revision uint64, content []byte, err error)
	// Accept puts content received from a peer in force if its revision is higher.
	Accept(ctx context.Context, revision uint64, content []byte) error
}

// Settings configures a Node. Zero fields select defaults or disable an optional
// feature.
type Settings struct {
	// Self describes this VM. The node sets its ID and state; a Control port of 0
	// is replaced by a port that the system assigns.
	Self lhflow.Member
	// Contacts holds control addresses of some members of the group.
	Contacts []netip.AddrPort
	Timing   Timing
	// Budget limits control traffic, in bytes per second; 0 selects DefaultBudget.
	Budget int
	// Records is nil if the VM has no records to hand over; the node then reports a
	// completed hand-over to each joining member itself.
	Records Records
	Configs Configs
	// Clock returns the VM's monotonic time; nil selects the time since the node
	// was created.
	Clock func() time.Duration
	// Dial opens connections to peers; nil selects a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Keys authenticates this VM to its peers and the peers to this VM. With nil,
	// the traffic is in cleartext and anyone can join.
	Keys *lhkey.Credentials
	Log  zerolog.Logger
}

// Node is the membership of a VM in a group, with its connections to the peers.
type Node struct {
	settings  Settings
	budget    *budget
	transport *transport
	onView    []func(*lhflow.View)
	// published is the view last passed to onView; only loop uses it.
	published *lhflow.View
	// view is the current view, for readers without a lock.
	view atomic.Pointer[lhflow.View]
	// wake makes loop run the decisions that are due.
	wake chan struct{}
	// results receives one value from each goroutine that loop started, when that
	// goroutine ends.
	results chan taskResult
	counts  nodeCounts

	// mu guards the fields below.
	mu     sync.Mutex
	member *Membership
	// newerSource is the peer with the highest revision above the one in force; the
	// zero value if there is none.
	newerSource source
	// fetching is set while a fetch is running.
	fetching bool
	// emptyHandOvers holds, for each joining member, when to report next that there
	// are no records to hand over to it.
	emptyHandOvers map[lhflow.MemberID]time.Duration
}

// NewNode returns a node. It joins its group when Run is called.
func NewNode(s Settings) *Node {
	s.Timing = s.Timing.withDefaults()
	if s.Clock == nil {
		started := time.Now()
		s.Clock = func() time.Duration { return time.Since(started) }
	}
	b := newBudget(s.Budget)
	return &Node{
		settings:       s,
		budget:         b,
		transport:      newTransport(b, s.Keys, s.Dial),
		wake:           make(chan struct{}, 1),
		results:        make(chan taskResult),
		member:         &Membership{},
		emptyHandOvers: make(map[lhflow.MemberID]time.Duration),
	}
}

// OnView registers f to be called with each new view. Calls are sequential. Call
// OnView before Run.
func (n *Node) OnView(f func(*lhflow.View)) { n.onView = append(n.onView, f) }

// Run joins the group and runs the node until ctx is done. The channel receives one
// value: the error that ended the node, or nil if ctx ended it.
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

// run serves peers and runs the loop until ctx is done or the server fails.
func (n *Node) run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := n.server()
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(n.secureListener(&countedListener{Listener: listener, budget: n.budget}))
		cancel()
	}()
	n.loop(ctx)
	stopping, stop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer stop()
	// Requests still open after the timeout are cut off.
	if server.Shutdown(stopping) != nil {
		_ = server.Close()
	}
	n.transport.close()
	if err := <-served; err != http.ErrServerClosed {
		return lhcode.Wrap(lhcode.PeerUnreachable, err, "serving peers")
	}
	return nil
}

// secureListener returns a listener that accepts only VMs of the group, if keys are
// set.
func (n *Node) secureListener(listener net.Listener) net.Listener {
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
		server.Handler = requireAuthentication(n.settings.Keys, mux)
		server.ErrorLog = n.settings.Keys.ErrorLog()
	}
	return server
}

// join creates the membership under a new ID.
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

// View returns the current view, or nil before Run.
func (n *Node) View() *lhflow.View { return n.view.Load() }

// Unreachable returns the members that cannot be reached but may return. Its times
// are those of Settings.Clock.
func (n *Node) Unreachable() []UnreachableMember {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.member.Unreachable()
}

// AddContacts adds control addresses, for example those that the platform lists.
func (n *Node) AddContacts(contacts []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.member.AddContacts(contacts)
}

// Leave starts a planned stop. The VM owns its flows until FinishLeave.
func (n *Node) Leave() {
	n.mu.Lock()
	n.member.Leave()
	n.mu.Unlock()
	n.wakeLoop()
}

// FinishLeave ends a planned stop after the VM has handed over its flows. It
// returns once some members have been notified. The node answers requests until the
// context of Run is done.
func (n *Node) FinishLeave(ctx context.Context) {
	n.mu.Lock()
	n.member.FinishLeave()
	requests := n.member.Announce()
	n.mu.Unlock()
	notified := make(chan struct{})
	for _, r := range requests {
		go func() {
			n.exchange(ctx, r, n.settings.Timing.Probe)
			notified <- struct{}{}
		}()
	}
	for range requests {
		<-notified
	}
	n.wakeLoop()
}
