package lhentry

import (
	"context"
	"crypto/tls"
	"fmt"
	"log"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhkey"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhpeer"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhsock"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// Sizes of the outer IP and UDP headers, in bytes.
const (
	outerIPv4Size = 20 + 8
	outerIPv6Size = 40 + 8
)

// Entry is the process on one entry VM.
type Entry struct {
	settings lhconf.Settings
	network  Network
	log      zerolog.Logger
	started  time.Time
	// fabricAddrs holds the source addresses of packets from callers.
	fabricAddrs map[netip.Addr]bool
	socket      *lhsock.Socket
	ops         net.Listener
	// keys is nil if the traffic between peers is in cleartext.
	keys *lhkey.Credentials
	// tagKey authenticates packets between members.
	tagKey lhwire.TagKey
	engine *lhflow.Engine
	work   lhwork.Controller
	// table is never nil.
	table         atomic.Pointer[lhplace.Table]
	recentMembers recentMembers
	detector      failureDetector
	// unreachableDCs holds the data centres that cannot be reached. A stored slice
	// is immutable.
	unreachableDCs atomic.Pointer[[]string]
	node           *lhpeer.Node
	runner         *lhstore.Runner
	store          *lhstore.Client
	workers        []*forwarder
	reports        reportPoller
	// inFlightRecords is the number of records in the hand-over call in progress.
	inFlightRecords atomic.Int64
	// leaving is set when a planned stop begins.
	leaving atomic.Bool
}

// New opens the sockets of an entry process. Call Run to start forwarding.
func New(s lhconf.Settings, log zerolog.Logger) (*Entry, error) {
	return NewWithNetwork(Network{}, s, log)
}

// NewWithNetwork is like New, but uses n instead of the system's network.
func NewWithNetwork(n Network, s lhconf.Settings, log zerolog.Logger) (*Entry, error) {
	e := &Entry{
		settings:    s,
		network:     n,
		log:         log,
		started:     time.Now(),
		tagKey:      lhwire.NewTagKey(s.Seed),
		fabricAddrs: make(map[netip.Addr]bool, len(s.Fabric)),
	}
	e.work.SetWarmup(paceSettings(s.Name, s.Warmup))
	if err := e.openKeys(); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	for _, a := range s.Fabric {
		e.fabricAddrs[a.Unmap()] = true
	}
	e.table.Store(lhplace.NewTable(nil))
	e.engine = lhflow.NewEngine(0, placer{e}, lhflow.Limits{
		Flows:    s.Flows,
		Lease:    s.Lease,
		MaxPause: s.Suspect,
		IdleTCP:  s.IdleTCP,
		IdleUDP:  s.IdleUDP,
	})
	e.store = lhstore.NewClient(s.Platform, n.transport())
	e.runner = lhstore.NewRunner(e.store, e.watchesStore, e.SetConfig)
	e.node = lhpeer.NewNode(e.nodeSettings())
	e.node.OnView(e.setView)
	e.addWorkers()
	e.reports.client = newReportClient()
	return e, nil
}

// openKeys loads the VM's TLS keys if the settings enable TLS.
func (e *Entry) openKeys() error {
	t := e.settings.TLS
	if !t.Enabled() {
		return nil
	}
	files := lhkey.Files{CA: t.CA, Certificate: t.Certificate, Key: t.Key}
	credentials, err := lhkey.Open(files, e.settings.Group, e.log)
	e.keys = credentials
	return err
}

func (e *Entry) listen() error {
	workers := e.settings.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	socket, err := lhsock.Open(e.settings.Data, workers)
	if err != nil {
		return err
	}
	ops, err := net.Listen("tcp", e.settings.Ops.String())
	if err != nil {
		_ = socket.Close()
		return lhcode.Wrap(lhcode.SocketFailed, err, "open the operations listener")
	}
	e.socket = socket
	e.ops = ops
	if e.settings.TLS.SecureOps {
		e.ops = tls.NewListener(ops, e.keys.OperatorConfig())
	}
	return nil
}

func (e *Entry) nodeSettings() lhpeer.Settings {
	s := &e.settings
	return lhpeer.Settings{
		Self: lhflow.Member{
			Name:       s.Name,
			DataCentre: s.DataCentre,
			Data:       e.Data(),
			Control:    s.Control,
		},
		Contacts: s.Peers,
		Timing:   lhpeer.Timing{Period: s.Heartbeat, Suspect: s.Suspect},
		Budget:   s.ControlRate,
		Records:  recordReceiver{e},
		Configs:  configProvider{e.runner},
		Clock:    e.now,
		Dial:     e.network.Dial,
		Keys:     e.keys,
		Log:      e.log,
	}
}

func (e *Entry) addWorkers() {
	for _, h := range e.socket.Handles() {
		e.workers = append(e.workers, newForwarder(e, h))
	}
}

// Data returns the address at which the process receives Geneve packets.
func (e *Entry) Data() netip.AddrPort {
	return e.socket.Address()
}

// Ops returns the address of the operations endpoint.
func (e *Entry) Ops() netip.AddrPort {
	return e.ops.Addr().(*net.TCPAddr).AddrPort()
}

// Control returns the address at which the process serves its peers. It is valid
// after Run has been called.
func (e *Entry) Control() netip.AddrPort {
	view := e.node.View()
	if view == nil {
		return netip.AddrPort{}
	}
	self, _ := view.Member(view.Self)
	return self.Control
}

// SetConfig puts a configuration in force. It ignores a configuration with a lower
// revision than the one in force.
func (e *Entry) SetConfig(cfg lhconf.Config) {
	current := e.table.Load()
	if cfg.Revision < current.Revision() {
		return
	}
	table := current.Next(&cfg)
	e.work.SetTable(e.now(), table)
	e.table.Store(table)
	e.log.Info().Uint64("revision", cfg.Revision).Msg("configuration in force")
	e.logEvacuations(current, table)
}

// now returns the monotonic time since the process started.
func (e *Entry) now() time.Duration { return time.Since(e.started) }

// innerLimit returns the size of the largest inner packet that fits into the MTU, in
// bytes. Any packet may be relayed through another VM, which takes a larger header
// than sending it to a backend server.
func (e *Entry) innerLimit() int {
	outer := outerIPv4Size
	if e.Data().Addr().Is6() {
		outer = outerIPv6Size
	}
	return e.settings.MTU - outer - lhwire.RelayOverhead
}

// Run joins the group and forwards packets until ctx is done. It then performs a
// planned stop: it hands over its flows and continues to forward while packets
// arrive, for up to the time in the settings. If kill is done, it stops
// immediately. The channel receives the first error, or nil.
func (e *Entry) Run(ctx, kill context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- e.run(ctx, kill) }()
	return done
}

func (e *Entry) run(ctx, kill context.Context) error {
	return lifecycle{start: e.start, stop: e.stop, close: func() { _ = e.socket.Close() }}.run(ctx, kill)
}

// start starts the goroutines of the process and returns their number. Each sends
// its result on results when it ends.
func (e *Entry) start(ctx context.Context, results chan<- error) int {
	node, runner := e.node.Run(ctx), e.runner.Run(ctx)
	compactor := lhstore.NewCompactor(e.store, e.holder(), lhstore.RetainedRevisions, time.Now)
	compaction := compactor.Run(ctx, e.watchesStore)
	e.log.Info().Stringer("data", e.Data()).Stringer("control", e.Control()).Stringer("ops", e.Ops()).
		Bool("pace", e.settings.Warmup.Pace).Msg("listening")
	if e.keys == nil {
		e.log.Warn().Msg("peers are not authenticated; see [tls] in the settings")
	}
	tasks := []func(context.Context) error{
		func(context.Context) error { return <-node },
		func(context.Context) error { return <-runner },
		func(context.Context) error { return <-compaction },
		e.serveOps,
		e.handOver,
		e.housekeep,
		e.checkReachability,
		e.followVMList,
		e.pollReports,
	}
	for _, w := range e.workers {
		tasks = append(tasks, w.run)
	}
	return startTasks(ctx, results, tasks...)
}

// holder returns the lease holder name of this run of the process.
func (e *Entry) holder() string {
	return fmt.Sprintf("%s-%d", e.settings.Name, e.started.UnixNano())
}

// serveOps serves the operations endpoint until ctx is done.
func (e *Entry) serveOps(ctx context.Context) error {
	handler, err := lhops.NewHandler(e)
	if err != nil {
		return err
	}
	var errorLog *log.Logger
	if e.keys != nil {
		errorLog = e.keys.ErrorLog()
	}
	return serve(ctx, e.ops, handler, errorLog)
}

// readHeaderTimeout limits how long a client may take to send a request header.
const readHeaderTimeout = 5 * time.Second
