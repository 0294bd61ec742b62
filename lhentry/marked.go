package lhentry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhsock"
	"github.com/laburnumhollow/laburnumhollow/lhspread"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// Codec translates the packets of callers and the contents of a store.
type Codec interface {
	// Decode reads the packet of a caller.
	Decode(datagram []byte) (lhflow.Event, error)
	// AppendToServer appends the datagram that carries a packet to a backend server.
	AppendToServer(out, datagram []byte, target uint64, mark uint32) []byte
	// AppendReset appends a packet that resets a flow towards its caller.
	AppendReset(out []byte, ev *lhflow.Event) []byte
	// ServerName returns the name of the backend server that a key belongs to.
	ServerName(key string) (string, bool)
	// DecodeServer reads the entry of a backend server.
	DecodeServer(name string, data []byte) (lhmark.Server, error)
	// EncodeServer returns an entry that is decoded to the same server.
	EncodeServer(s lhmark.Server) ([]byte, error)
	// MemberKey returns the key of a VM's entry, and MemberName the name of the VM
	// that a key belongs to.
	MemberKey(name string) string
	MemberName(key string) (string, bool)
	// IsConfig reports whether a key holds the configuration.
	IsConfig(key string) bool
	// DecodeConfig reads the configuration. With an error it is valid for all but
	// what the error names, unless its revision is 0.
	DecodeConfig(data []byte) (lhmark.Config, error)
	// EncodeConfig returns a text that is decoded to the same configuration.
	EncodeConfig(cfg lhmark.Config) ([]byte, error)
}

// Store is the platform's key-value service.
type Store interface {
	lhstore.Feed
	lhstore.Lessor
}

// Outside is what a Marked process meets the outside with.
type Outside struct {
	Codec Codec
	// Store holds the configuration, the entries of backend servers and of VMs.
	Store Store
	// Reload says how settings are read again; its zero value leaves them as they are.
	Reload Reload
	// Ready makes the handler that tells routers whether the VM takes packets.
	Ready func(ready func() bool) http.Handler
}

// Marked is the process on an entry VM that carries flows whose ends return a mark.
type Marked struct {
	// settings are those in force; only what Reload may change ever differs.
	settings atomic.Pointer[lhconf.MarkedSettings]
	outside  Outside
	log      zerolog.Logger
	lines    lines
	started  time.Time
	socket   *lhsock.Socket
	ready    net.Listener
	ops      net.Listener
	control  net.Listener
	engine   *lhmark.Engine
	spread   *lhspread.Node
	mirror   *lhstore.Mirror
	// mu guards directory and members.
	mu        sync.Mutex
	directory lhmark.Directory
	// members holds the VMs that have entries in the store, by name.
	members  map[string]lhspread.Member
	counters markedCounters
	times    lhops.LatencyHistograms
	leaving  atomic.Bool
	// informed is closed once a configuration and a backend server are known.
	informed chan struct{}
	// out is the buffer of the one goroutine that forwards packets.
	out []byte
}

// NewMarked opens the sockets of a process. Nothing is forwarded until Run.
func NewMarked(s lhconf.MarkedSettings, o Outside, log zerolog.Logger) (*Marked, error) {
	m := &Marked{
		outside:  o,
		log:      log,
		lines:    newLines(log, s.LogLines),
		started:  time.Now(),
		informed: make(chan struct{}),
		engine:   lhmark.NewEngine(s.DataCentre, lhmark.Limits{Flows: s.Flows}),
		members:  make(map[string]lhspread.Member),
	}
	m.settings.Store(&s)
	m.mirror = &lhstore.Mirror{Feed: o.Store, Consumer: (*markedStore)(m), Log: log}
	m.spread = lhspread.NewNode(s.Name, s.Contacts, m.mirror.State, log)
	m.mirror.Distributor = m.spread
	var err error
	if m.socket, err = lhsock.Open(s.Data, 1); err != nil {
		return nil, err
	}
	if m.ready, err = net.Listen("tcp", s.Ready.String()); err == nil {
		m.ops, err = net.Listen("tcp", s.Ops.String())
	}
	if err == nil {
		m.control, err = net.Listen("tcp", s.Control.String())
	}
	if err != nil {
		m.close()
		return nil, lhcode.Wrap(lhcode.SocketFailed, err, "open a listening socket")
	}
	return m, nil
}

func (m *Marked) close() {
	_ = m.socket.Close()
	for _, l := range []net.Listener{m.ready, m.ops, m.control} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Data returns the address that the process receives packets at.
func (m *Marked) Data() netip.AddrPort { return m.socket.Address() }

// Ready returns the address that routers ask.
func (m *Marked) Ready() netip.AddrPort { return m.ready.Addr().(*net.TCPAddr).AddrPort() }

// Ops returns the address that the process serves operators at.
func (m *Marked) Ops() netip.AddrPort { return m.ops.Addr().(*net.TCPAddr).AddrPort() }

// Control returns the address that the process hears other VMs at.
func (m *Marked) Control() netip.AddrPort { return m.control.Addr().(*net.TCPAddr).AddrPort() }

// now returns the monotonic time since the process started.
func (m *Marked) now() time.Duration { return time.Since(m.started) }

// Run forwards packets until ctx ends, and then stops as planned: routers are told to
// turn away, and what still arrives is forwarded, within the bound of the settings.
// Once kill ends it stops at once. The channel then gives the first error, or nil.
func (m *Marked) Run(ctx, kill context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- m.run(ctx, kill) }()
	return done
}

func (m *Marked) run(ctx, kill context.Context) error {
	err := lifecycle{start: m.start, stop: m.stop, close: m.close}.run(ctx, kill)
	m.log.Info().Err(err).Dur("ran", m.now()).Msg("stopped")
	return err
}

// start starts the goroutines of the process.
func (m *Marked) start(ctx context.Context, ended chan<- error) int {
	s := m.settings.Load()
	m.log.Info().Stringer("data", m.Data()).Stringer("ready", m.Ready()).Stringer("ops", m.Ops()).
		Stringer("control", m.Control()).Str("datacentre", s.DataCentre).Str("platform", s.Platform).Msg("started")
	return startParts(ctx, ended,
		m.follow, m.forward, m.serveReady, m.serveOps, m.serveControl, m.register, m.tell, m.housekeep, m.reload)
}

const (
	// turnAwayTime is how long routers go on sending packets to a VM that says that it
	// leaves: they ask twice a second and turn away after the second answer.
	turnAwayTime = 1500 * time.Millisecond
	// stopMargin is kept free before the bound of a planned stop.
	stopMargin = 500 * time.Millisecond
)

// stop carries out a planned stop.
func (m *Marked) stop(kill context.Context) {
	m.leaving.Store(true)
	m.log.Info().Int("flows", m.engine.Len()).Msg("leaving")
	ctx, cancel := context.WithTimeout(kill, m.settings.Load().Stop-stopMargin)
	defer cancel()
	begun, silent := m.now(), quiet(m.counters.received.Load, m.now)
	await(ctx, func() bool { return silent() && m.now()-begun >= turnAwayTime })
}

// follow follows the store until the context ends.
func (m *Marked) follow(ctx context.Context) error { return <-m.mirror.Run(ctx) }

// register keeps the VM's entry in the store until the context ends.
func (m *Marked) register(ctx context.Context) error {
	s := m.settings.Load()
	entry, err := json.Marshal(lhspread.Member{Name: s.Name, DataCentre: s.DataCentre, Control: m.Control()})
	if err != nil {
		return lhcode.Wrap(lhcode.Internal, err, "encode the VM's entry")
	}
	return <-lhstore.Registrar{
		Store: m.outside.Store,
		Key:   m.outside.Codec.MemberKey(s.Name),
		Data:  entry,
		Log:   m.log,
	}.Run(ctx)
}

// tell passes news on to other VMs until the context ends.
func (m *Marked) tell(ctx context.Context) error { return <-m.spread.Run(ctx) }

func (m *Marked) serveControl(ctx context.Context) error {
	return serve(ctx, m.control, m.spread.Handler(), nil)
}

// sweepPeriod is the time between two looks for flows that have ended.
const sweepPeriod = 500 * time.Millisecond

// housekeep does what time alone brings about until the context ends.
func (m *Marked) housekeep(ctx context.Context) error {
	return every(ctx, sweepPeriod, func() {
		m.engine.Expire(m.now())
		m.mu.Lock()
		m.update()
		m.mu.Unlock()
		m.lines.report()
	})
}

func (m *Marked) serveReady(ctx context.Context) error {
	return serve(ctx, m.ready, m.outside.Ready(func() bool { return m.Health().Ready() }), nil)
}

func (m *Marked) serveOps(ctx context.Context) error {
	handler, err := lhops.NewHandlerWithLatency(m, &m.times)
	if err != nil {
		return err
	}
	return serve(ctx, m.ops, handler, nil)
}
