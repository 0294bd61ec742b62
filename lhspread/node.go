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
	// dialTimeout bounds the opening of a connection to another VM: many times the way
	// between data centres.
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds a call: eight configurations of the usual size pass the
	// slowest link in it, and news have to be everywhere in a few times as much.
	callTimeout = 800 * time.Millisecond
	// idleTimeout is how long a connection is kept without use.
	idleTimeout = 30 * time.Second
	// awayTime is how long a VM is passed over that could not be reached. It reads the
	// store itself within that time.
	awayTime = 2 * time.Second
	// waiting is how many news wait to be told or taken. What finds no room is read
	// from the store by those who lack it.
	waiting = 16
	// maxMessage is the size in bytes of the largest message that is taken in: one
	// with a configuration of the largest value that the store holds.
	maxMessage = 2 * lhstore.MaxValue
)

// Node tells other VMs what was read and hears it from them. The methods may be
// called from any goroutine.
type Node struct {
	self  string
	order atomic.Pointer[Order]
	http  *http.Client
	log   zerolog.Logger
	// contacts are addresses of VMs that may know something, and state returns all that
	// this one knows.
	contacts []netip.AddrPort
	state    func() lhstore.News
	// giving is held while a state is made for another VM.
	giving sync.Mutex
	// away holds until when a VM is passed over that could not be reached, by name.
	away sync.Map
	// heard holds what others have told, told what is to be passed on.
	heard chan lhstore.News
	told  chan delivery

	// The counters only ever grow.
	calls, failures, received, dropped atomic.Uint64
}

// delivery is news with the places to call.
type delivery struct {
	after, revision uint64
	// packed holds the items; all calls share it.
	packed []byte
	read   time.Time
	to     []position
}

// NewNode returns the Node of a VM, which knows no others yet but for addresses that
// are asked for all they know. It gives others what state returns.
func NewNode(self string, contacts []netip.AddrPort, state func() lhstore.News, log zerolog.Logger) *Node {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	n := &Node{
		self: self,
		http: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			Protocols:           protocols,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: 1,
			DisableCompression:  true,
		}},
		log:      log,
		contacts: contacts,
		state:    state,
		heard:    make(chan lhstore.News, waiting),
		told:     make(chan delivery, waiting),
	}
	n.order.Store(NewOrder(self, nil))
	return n
}

// SetMembers takes the VMs that the store lists.
func (n *Node) SetMembers(members []Member) {
	before, after := n.order.Load(), NewOrder(n.self, members)
	n.order.Store(after)
	n.away.Clear()
	if before.First() != after.First() {
		n.log.Info().Bool("first", after.First()).Int("members", after.Size()).Msg("reader of the store")
	}
}

// Patience returns how old what the VM knows may become until it reads the store.
func (n *Node) Patience() time.Duration { return n.order.Load().Patience() }

// Heard gives what other VMs have told.
func (n *Node) Heard() <-chan lhstore.News { return n.heard }

// Tell passes on what was read from the store just now.
func (n *Node) Tell(news lhstore.News) {
	o := n.order.Load()
	if !o.Tells() || o.Size() == 0 {
		return
	}
	packed, err := news.Pack()
	if err != nil {
		n.log.Error().Err(err).Uint64("at", news.Revision).Msg("news can't be packed")
		return
	}
	n.enqueue(delivery{after: news.After, revision: news.Revision, packed: packed, read: time.Now(), to: o.tops()})
}

func (n *Node) enqueue(d delivery) {
	if len(d.to) == 0 {
		return
	}
	select {
	case n.told <- d:
	default:
		n.dropped.Add(1)
	}
}

// Counters returns what has happened since the start, by name.
func (n *Node) Counters() map[string]uint64 {
	return map[string]uint64{
		"news_calls":    n.calls.Load(),
		"news_failures": n.failures.Load(),
		"news_received": n.received.Load(),
		"news_dropped":  n.dropped.Load(),
	}
}

// Handler serves the calls of other VMs.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(lhspreadv1.NewSpreadServiceHandler(handler{n}, connect.WithReadMaxBytes(maxMessage)))
	return mux
}

// Run passes news on until the context ends; the channel then gives nil.
func (n *Node) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				n.http.CloseIdleConnections()
				done <- nil
				return
			case d := <-n.told:
				n.deliver(ctx, d, d.to)
			}
		}
	}()
	return done
}

// deliver calls the VMs at some places at the same time, and where one can't be
// reached those that follow it.
func (n *Node) deliver(ctx context.Context, d delivery, to []position) {
	ended := make(chan struct{})
	for _, p := range to {
		go func() {
			defer func() { ended <- struct{}{} }()
			if !n.call(ctx, d, p.member()) {
				n.deliver(ctx, d, p.followers())
			}
		}()
	}
	for range to {
		<-ended
	}
}

// call tells one VM and reports whether it was reached.
func (n *Node) call(ctx context.Context, d delivery, m Member) bool {
	if m.Name == n.self {
		// The VM knows its news, and its followers have to be told.
		return false
	}
	if until, ok := n.away.Load(m.Name); ok && time.Now().Before(until.(time.Time)) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := lhspreadv1.NewSpreadServiceClient(n.http, "http://"+m.Control.String())
	n.calls.Add(1)
	request := &lhspreadv1.TellRequest{
		After: d.after, Revision: d.revision, Age: uint32(time.Since(d.read).Milliseconds()), Changes: d.packed,
	}
	if _, err := client.Tell(ctx, connect.NewRequest(request)); err != nil {
		n.failures.Add(1)
		n.away.Store(m.Name, time.Now().Add(awayTime))
		n.log.Debug().Err(err).Str("peer", m.Name).Uint64("at", d.revision).Msg("news not delivered")
		return false
	}
	return true
}

// handler serves the calls of other VMs to a Node.
type handler struct{ node *Node }

// Tell takes news and passes them on.
func (h handler) Tell(
	_ context.Context, r *connect.Request[lhspreadv1.TellRequest],
) (*connect.Response[lhspreadv1.TellResponse], error) {
	n := h.node
	n.received.Add(1)
	news := lhstore.News{
		After: r.Msg.GetAfter(), Revision: r.Msg.GetRevision(), Age: time.Duration(r.Msg.GetAge()) * time.Millisecond,
	}
	if err := news.Unpack(r.Msg.GetChanges()); err != nil {
		n.log.Warn().Err(err).Uint64("at", news.Revision).Msg("news can't be unpacked")
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	n.enqueue(delivery{
		after: news.After, revision: news.Revision, packed: r.Msg.GetChanges(),
		read: time.Now().Add(-news.Age), to: n.order.Load().own(),
	})
	select {
	case n.heard <- news:
	default:
		n.dropped.Add(1)
	}
	return connect.NewResponse(&lhspreadv1.TellResponse{}), nil
}
