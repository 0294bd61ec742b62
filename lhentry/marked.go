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

// Codec encodes and decodes the packets of callers and the contents of a store.
type Codec interface {
	// Decode decodes a packet from a caller.
	Decode(datagram []byte) (lhflow.Event, error)
	// AppendToServer appends the datagram that carries a packet to a backend server.
	AppendToServer(out, datagram []byte, target uint64, mark uint32) []byte
	// AppendReset appends a packet that resets a flow towards its caller.
	AppendReset(out []byte, ev *lhflow.Event) []byte
	// ServerName returns the name of the backend server that a key belongs to.
	ServerName(key string) (string, bool)
	// DecodeServer decodes the entry of a backend server in the store, and DecodeServerCopy one
	// that EncodeServer of another VM returned, which may be of an earlier build.
	DecodeServer(name string, data []byte) (lhmark.Server, error)
	DecodeServerCopy(name string, data []byte) (lhmark.Server, error)
	// EncodeServer returns an entry that decodes to the same server.
	EncodeServer(s lhmark.Server) ([]byte, error)
	// EvacuatedDataCentre returns the data centre whose evacuation a key requests.
	EvacuatedDataCentre(key string) (string, bool)
	// CheckEvacuation returns an error if data is not the value of such a key, and
	// EncodeEvacuation returns the value.
	CheckEvacuation(data []byte) error
	EncodeEvacuation() ([]byte, error)
	// MemberKey returns the key of a VM's entry, and MemberName the name of the VM
	// that a key belongs to.
	MemberKey(name string) string
	MemberName(key string) (string, bool)
	// IsConfig reports whether a key holds the configuration.
	IsConfig(key string) bool
	// DecodeConfig decodes the configuration. If it returns an error and the revision is
	// not 0, the configuration is valid except for the parts that the error names.
	DecodeConfig(data []byte) (lhmark.Config, error)
	// EncodeConfig returns data that decodes to the same configuration.
	EncodeConfig(cfg lhmark.Config) ([]byte, error)
}

// Store is the platform's key-value service.
type Store interface {
	lhstore.Feed
	lhstore.Registry
}

// Dependencies holds the external dependencies of a Marked process.
type Dependencies struct {
	Codec Codec
	// Store holds the configuration and the entries of backend servers and VMs.
	Store Store
	// Reload configures how settings are reloaded; the zero value disables reloading.
	Reload Reload
	// NewReadyHandler returns a handler that reports to routers whether the VM accepts
	// packets.
	NewReadyHandler func(ready func() bool) http.Handler
	// BootTime returns the time of a clock that also counts while the VM is suspended; nil
	// selects the system's.
	BootTime func() time.Duration
}

// Marked is the process on an entry VM that forwards flows whose ends return a mark.
type Marked struct {
	// settings are the settings in force. Only the fields that can be reloaded change.
	settings atomic.Pointer[lhconf.MarkedSettings]
	deps     Dependencies
	log      zerolog.Logger
	flowLog  flowLog
	started  time.Time
	socket   *lhsock.Socket
	ready    net.Listener
	ops      net.Listener
	control  net.Listener
	engine   *lhmark.Engine
	stalls   lhmark.StallDetector
	spread   *lhspread.Node
	mirror   *lhstore.Mirror
	// mu guards directory and members.
	mu        sync.Mutex
	directory lhmark.Directory
	// members holds the VMs that have entries in the store, by name.
	members  map[string]lhspread.Member
	counters markedCounters
	latency  lhops.LatencyHistograms
	leaving  atomic.Bool
	// initialized is closed when a configuration and a backend server are known.
	initialized chan struct{}
	workLimited workLimits
	// probes holds the servers to be probed.
	probes chan *lhmark.Server
	// sendBuf is used only by the goroutine that forwards packets.
	sendBuf []byte
}

// NewMarked opens the sockets of a process. Call Run to start forwarding.
func NewMarked(s lhconf.MarkedSettings, deps Dependencies, log zerolog.Logger) (*Marked, error) {
	if deps.BootTime == nil {
		deps.BootTime = lhsock.BootTime
	}
	m := &Marked{
		deps:        deps,
		log:         log,
		flowLog:     newFlowLog(log, s.LogLines),
		started:     time.Now(),
		initialized: make(chan struct{}),
		engine:      lhmark.NewEngine(s.DataCentre, lhmark.Limits{Flows: s.Flows, Shares: s.Shares, Probes: s.Probes}),
		members:     make(map[string]lhspread.Member),
		workLimited: make(workLimits),
		probes:      make(chan *lhmark.Server, maxQueuedProbes),
	}
	m.settings.Store(&s)
	m.engine.SetSpeeds(s.Speeds)
	m.engine.SetDetection(lhmark.Detection{FollowUps: s.Evidence, Domains: s.Domains})
	m.engine.SetWarmup(paceSettings(s.Name, s.Warmup), m.logPace)
	m.mirror = &lhstore.Mirror{Feed: deps.Store, Consumer: (*storeConsumer)(m), Log: log}
	m.spread = lhspread.NewNode(lhspread.NodeSettings{
		Self: s.Name, Contacts: s.Contacts, State: m.mirror.State, Absent: m.removeEntry, Log: log,
		Tallies: m.tallySource(),
	})
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

// Data returns the address at which the process receives packets.
func (m *Marked) Data() netip.AddrPort { return m.socket.Address() }

// Ready returns the address of the readiness endpoint for routers.
func (m *Marked) Ready() netip.AddrPort { return m.ready.Addr().(*net.TCPAddr).AddrPort() }

// Ops returns the address of the operations endpoint.
func (m *Marked) Ops() netip.AddrPort { return m.ops.Addr().(*net.TCPAddr).AddrPort() }

// Control returns the address at which the process serves other VMs.
func (m *Marked) Control() netip.AddrPort { return m.control.Addr().(*net.TCPAddr).AddrPort() }

// now returns the monotonic time since the process started.
func (m *Marked) now() time.Duration { return time.Since(m.started) }

// Run forwards packets until ctx is done and then performs a planned stop: the readiness
// endpoint tells routers to stop sending, and packets that still arrive are forwarded, for
// up to the time in the settings. If kill is done, it stops immediately. The channel
// receives the first error, or nil.
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

// start starts the goroutines of the process and returns their number.
func (m *Marked) start(ctx context.Context, results chan<- error) int {
	s := m.settings.Load()
	m.log.Info().Stringer("data", m.Data()).Stringer("ready", m.Ready()).Stringer("ops", m.Ops()).
		Stringer("control", m.Control()).Str("datacentre", s.DataCentre).Str("platform", s.Platform).
		Int("size", lhspread.Size(s.Cores, s.Link)).Bool("shares", s.Shares).Bool("probes", s.Probes).Bool("speeds", s.Speeds).
		Bool("pace", s.Warmup.Pace).Float64("overshoot", s.Warmup.Overshoot).Float64("slack", s.Warmup.Slack).Msg("started")
	return startTasks(ctx, results,
		m.runMirror, m.forward, m.serveReady, m.serveOps, m.serveControl, m.register, m.runSpread, m.observe, m.watchStalls, m.probeServers,
		m.followSpeeds, m.housekeep, m.reload)
}

const (
	// routerReactionTime is how long routers keep sending packets to a VM that reports
	// that it is leaving: they poll twice a second and stop after the second response.
	routerReactionTime = 1500 * time.Millisecond
	// stopMargin is subtracted from the time limit of a planned stop.
	stopMargin = 500 * time.Millisecond
)

// stop performs a planned stop.
func (m *Marked) stop(kill context.Context) {
	m.leaving.Store(true)
	m.log.Info().Int("flows", m.engine.Len()).Msg("leaving")
	ctx, cancel := context.WithTimeout(kill, m.settings.Load().Stop-stopMargin)
	defer cancel()
	started, quiet := m.now(), quietCondition(m.counters.received.Load, m.now)
	waitUntil(ctx, func() bool { return quiet() && m.now()-started >= routerReactionTime })
}

// runMirror follows the store until ctx is done.
func (m *Marked) runMirror(ctx context.Context) error { return <-m.mirror.Run(ctx) }

// register keeps the VM's entry in the store until ctx is done.
func (m *Marked) register(ctx context.Context) error {
	s := m.settings.Load()
	self := lhspread.Member{Name: s.Name, DataCentre: s.DataCentre, Control: m.Control(), Size: lhspread.Size(s.Cores, s.Link)}
	entry, err := json.Marshal(self)
	if err != nil {
		return lhcode.Wrap(lhcode.Internal, err, "encode the VM's entry")
	}
	return <-lhstore.Registrar{
		Store: m.deps.Store,
		Key:   m.deps.Codec.MemberKey(s.Name),
		Data:  entry,
		Listed: func() (listed bool, at lhstore.Revision) {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.members[s.Name] == self, m.counters.knownRevision()
		},
		Log: m.log,
	}.Run(ctx)
}

// removeTimeout bounds the removal of the entry of a VM that is gone.
const removeTimeout = 500 * time.Millisecond

// removeEntry removes the entry of a VM that is gone. If another VM does so as well, or the
// VM has come back and written its entry again, the store rejects the call. A store that was
// restored meanwhile may remove the entry of a VM that is back, which then writes it again.
func (m *Marked) removeEntry(gone lhspread.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	key := m.deps.Codec.MemberKey(gone.Name)
	at := m.mirror.KeyRevision(key)
	if err := m.deps.Store.Remove(ctx, key, at); err != nil {
		m.log.Debug().Err(err).Str("peer", gone.Name).Stringer("at", at).Msg("failed to remove entry of an absent VM")
		return
	}
	m.log.Info().Str("peer", gone.Name).Str("datacentre", gone.DataCentre).Stringer("at", at).Msg("entry of an absent VM removed")
}

// runSpread distributes changes of the store to other VMs until ctx is done.
func (m *Marked) runSpread(ctx context.Context) error { return <-m.spread.Run(ctx) }

func (m *Marked) serveControl(ctx context.Context) error {
	return serve(ctx, m.control, m.spread.Handler(), nil)
}

// flowSweepInterval is the time between two sweeps for expired flows.
const flowSweepInterval = 500 * time.Millisecond

// housekeep performs time-driven updates until ctx is done.
func (m *Marked) housekeep(ctx context.Context) error {
	return every(ctx, flowSweepInterval, func() {
		m.engine.Expire(m.now())
		m.mu.Lock()
		m.publish()
		m.mu.Unlock()
		m.logWork()
		m.flowLog.logOmitted()
	})
}

func (m *Marked) serveReady(ctx context.Context) error {
	return serve(ctx, m.ready, m.deps.NewReadyHandler(func() bool { return m.Health().Ready() }), nil)
}

func (m *Marked) serveOps(ctx context.Context) error {
	handler, err := lhops.NewHandlerWithLatency(m, &m.latency)
	if err != nil {
		return err
	}
	return serve(ctx, m.ops, handler, nil)
}
