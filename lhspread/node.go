package lhspread

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhspread/lhspreadv1"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

const (
	// dialTimeout bounds connecting to another VM. It is many times the latency between
	// data centres.
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds a call. Eight configurations of the usual size pass the slowest
	// link within it, and an update has to reach all VMs within a few times as much.
	callTimeout = 800 * time.Millisecond
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 30 * time.Second
	// queueLength is the capacity of the queues of incoming and outgoing updates. Updates
	// that don't fit are dropped; the VMs that lack them read the store instead.
	queueLength = 16
	// maxMessageSize is the size in bytes of the largest message accepted. It fits a
	// configuration as large as the largest value of the store.
	maxMessageSize = 2 * lhstore.MaxValueSize
)

// Node sends updates read from the store to other VMs and receives updates from them. Its
// methods may be called from any goroutine.
type Node struct {
	self  string
	order atomic.Pointer[Order]
	http  *http.Client
	log   zerolog.Logger
	// contacts are the control addresses of VMs that may have state; state returns the
	// changes after a revision known to this VM, or its complete state.
	contacts []netip.AddrPort
	state    func(after lhstore.Revision) lhstore.Update
	// packing is held while the state is collected and packed for another VM.
	packing sync.Mutex
	// absent is called, from the goroutine of a call, while a VM has been unreachable
	// for AbsentTimeout.
	absent func(Member)
	// failing holds the VMs whose last call has failed.
	failing failures
	// incoming holds updates received from other VMs, outgoing those to be forwarded.
	incoming chan lhstore.Update
	outgoing chan delivery
	// pending holds observations until they are sent, observed those received from other
	// VMs, and forwarding those to be forwarded.
	pending    pendingObservations
	observed   chan []Observation
	forwarding chan delivery
	// tallies returns this VM's tallies since its last call; nil if VMs share none. Those
	// that did not fit into a message are kept in ownTallies, and those that others have
	// sent here to be distributed in collected.
	tallies               func() []Tally
	ownTallies, collected talliesByServer
	digests               chan []Tally
	forwardingTallies     chan delivery
	digestCount           atomic.Uint64
	forwarded             forwarded

	// Counters are monotonic.
	calls, failures, received, dropped atomic.Uint64
}

// delivery is an update or a list of observations or tallies with the VMs to call.
type delivery struct {
	// observations or tallies is set if the delivery is not an update; distributed if the
	// callees forward them to their children.
	observations []Observation
	tallies      []Tally
	distributed  bool
	// after to listed are the properties of an update.
	after, revision lhstore.Revision
	// packed holds the items; all calls share it.
	packed  []byte
	listed  bool
	readAt  time.Time
	targets []treeNode
}

// NodeSettings are the properties of a Node.
type NodeSettings struct {
	// Self is the name of the VM.
	Self string
	// Contacts are the control addresses of VMs that may have state.
	Contacts []netip.AddrPort
	// State returns the changes after a revision known to this VM, or its complete state.
	// It answers the queries of other VMs.
	State func(after lhstore.Revision) lhstore.Update
	// Absent is called while a VM has been unreachable for lhstore.AbsentTimeout.
	Absent func(Member)
	// Tallies returns the tallies of backend servers since its last call. It is nil if
	// the VM shares none.
	Tallies func() []Tally
	Log     zerolog.Logger
}

// NewNode returns the Node of a VM. Until SetMembers is called it knows no other VMs but
// its contacts.
func NewNode(s NodeSettings) *Node {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	n := &Node{
		self: s.Self,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			Protocols:           protocols,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		}},
		log:      s.Log,
		contacts: s.Contacts,
		state:    s.State,
		absent:   s.Absent,
		incoming: make(chan lhstore.Update, queueLength),
		outgoing: make(chan delivery, queueLength),

		observed:   make(chan []Observation, queueLength),
		forwarding: make(chan delivery, queueLength),

		tallies:           s.Tallies,
		digests:           make(chan []Tally, queueLength),
		forwardingTallies: make(chan delivery, queueLength),
	}
	n.order.Store(NewOrder(s.Self, nil))
	return n
}

// SetMembers replaces the known VMs by those listed in the store.
func (n *Node) SetMembers(members []Member) {
	before, after := n.order.Load(), NewOrder(n.self, members)
	n.order.Store(after)
	n.failing.retain(members)
	if before.IsReader() != after.IsReader() {
		n.log.Info().Bool("first", after.IsReader()).Int("members", after.Size()).Msg("reader of the store")
	}
}

// MaxAge returns the age of the known state at which the VM reads the store.
func (n *Node) MaxAge() time.Duration { return n.order.Load().MaxAge() }

// ReadAge returns the age at which the VM reads the store even if other VMs answer.
func (n *Node) ReadAge() time.Duration { return n.order.Load().ReadAge() }

// Updates returns the channel of updates received from other VMs.
func (n *Node) Updates() <-chan lhstore.Update { return n.incoming }

// Publish sends an update that was just read from the store to other VMs.
func (n *Node) Publish(update lhstore.Update) {
	o := n.order.Load()
	if !o.Publishes() || o.Size() == 0 {
		return
	}
	packed, err := update.Pack()
	if err != nil {
		n.log.Error().Err(err).Stringer("at", update.Revision).Msg("failed to pack update")
		return
	}
	n.enqueue(delivery{
		after: update.After, revision: update.Revision, packed: packed, listed: update.Listed,
		readAt: time.Now().Add(-update.Age), targets: o.roots(),
	})
}

// enqueue queues a delivery for Run, or drops it if the queue is full.
func (n *Node) enqueue(d delivery) {
	if len(d.targets) == 0 {
		return
	}
	select {
	case n.outgoing <- d:
	default:
		n.dropped.Add(1)
	}
}

// Counters returns the values of all counters by name.
func (n *Node) Counters() map[string]uint64 {
	return map[string]uint64{
		"news_calls":    n.calls.Load(),
		"news_failures": n.failures.Load(),
		"news_received": n.received.Load(),
		"news_dropped":  n.dropped.Load(),
		"speed_digests": n.digestCount.Load(),
	}
}

// Handler returns the HTTP handler of the SpreadService for calls from other VMs.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(lhspreadv1.NewSpreadServiceHandler(handler{n}, connect.WithReadMaxBytes(maxMessageSize)))
	return mux
}

// Run sends queued updates and observations until ctx ends. The returned channel then
// receives nil.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	sharing, measuring := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sharing)
		n.runSharing(ctx)
	}()
	go func() {
		defer close(measuring)
		n.runTallies(ctx)
	}()
	go func() {
		for {
			select {
			case <-ctx.Done():
				<-sharing
				<-measuring
				n.http.CloseIdleConnections()
				done <- nil
				return
			case d := <-n.outgoing:
				n.deliver(ctx, d, d.targets)
			}
		}
	}()
	return done
}

// deliver calls the VMs of the given nodes concurrently. If one can't be reached, it
// calls its children.
func (n *Node) deliver(ctx context.Context, d delivery, targets []treeNode) {
	done := make(chan struct{})
	for _, t := range targets {
		go func() {
			defer func() { done <- struct{}{} }()
			if !n.call(ctx, d, t.member()) {
				n.deliver(ctx, d, t.children())
			}
		}()
	}
	for range targets {
		<-done
	}
}

// call makes one delivery to one VM and reports whether the VM accepted it.
func (n *Node) call(ctx context.Context, d delivery, m Member) bool {
	if m.Name == n.self {
		// This VM has the update already, but its children need it.
		return false
	}
	if n.failing.skipped(m, time.Now()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := lhspreadv1.NewSpreadServiceClient(n.http, "http://"+m.Control.String())
	n.calls.Add(1)
	err := n.send(ctx, d, client)
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		// The VM runs an older build and takes other deliveries.
		return false
	}
	if err != nil {
		n.failures.Add(1)
		absence := n.failing.record(m, time.Now())
		n.log.Debug().Err(err).Str("peer", m.Name).Stringer("at", d.revision).Dur("absent", absence).Msg("failed to deliver update")
		if absence >= lhstore.AbsentTimeout {
			n.absent(m)
		}
		return false
	}
	n.failing.clear(m)
	return true
}

// send calls the method of another VM that takes the delivery.
func (n *Node) send(ctx context.Context, d delivery, client lhspreadv1.SpreadServiceClient) error {
	if len(d.observations) > 0 {
		return n.observe(ctx, d, client)
	}
	if len(d.tallies) > 0 {
		return n.measure(ctx, d, client)
	}
	_, err := client.Tell(ctx, connect.NewRequest(&lhspreadv1.TellRequest{
		Era: d.revision.Era, After: d.after.Number, Revision: d.revision.Number,
		Age: uint32(time.Since(d.readAt).Milliseconds()), Changes: d.packed, Listed: d.listed,
	}))
	return err
}

// handler implements the SpreadService for a Node.
type handler struct{ node *Node }

// Tell receives an update and forwards it to the children of this VM, unless it has before.
func (h handler) Tell(
	_ context.Context, r *connect.Request[lhspreadv1.TellRequest],
) (*connect.Response[lhspreadv1.TellResponse], error) {
	n := h.node
	n.received.Add(1)
	update := lhstore.Update{
		After:    revisionOf(r.Msg.GetEra(), r.Msg.GetAfter()),
		Revision: revisionOf(r.Msg.GetEra(), r.Msg.GetRevision()),
		Age:      time.Duration(r.Msg.GetAge()) * time.Millisecond,
		Listed:   r.Msg.GetListed(),
	}
	if err := update.Unpack(r.Msg.GetChanges()); err != nil {
		n.log.Warn().Err(err).Stringer("at", update.Revision).Msg("failed to unpack update")
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	d := delivery{
		after: update.After, revision: update.Revision, packed: r.Msg.GetChanges(), listed: update.Listed,
		readAt: time.Now().Add(-update.Age), targets: n.order.Load().selfChildren(),
	}
	if n.forwarded.addUpdate(&d) {
		n.enqueue(d)
	}
	select {
	case n.incoming <- update:
	default:
		n.dropped.Add(1)
	}
	return connect.NewResponse(&lhspreadv1.TellResponse{}), nil
}
