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

// Sizes in bytes.
const (
	outerIPv4 = 20 + 8
	outerIPv6 = 40 + 8
)

// Entry is the process on one entry VM.
type Entry struct {
	settings lhconf.Settings
	network  Network
	log      zerolog.Logger
	started  time.Time
	// fabric holds the addresses that callers' packets come from.
	fabric map[netip.Addr]bool
	socket *lhsock.Socket
	ops    net.Listener
	// keys is nil where peers speak in cleartext.
	keys *lhkey.Credentials
	// tagKey is the key of the tags on packets between members.
	tagKey lhwire.TagKey
	engine *lhflow.Engine
	work   lhwork.Controller
	// table is never nil.
	table   atomic.Pointer[lhplace.Table]
	members contacts
	silence silence
	// cut holds the data centres that can't be reached; it is never changed after
	// it has been stored.
	cut     atomic.Pointer[[]string]
	node    *lhpeer.Node
	runner  *lhstore.Runner
	store   *lhstore.Client
	workers []*forwarder
	reports reports
	// underWay is how many records are being handed over at this moment.
	underWay atomic.Int64
	// leaving is set once a planned stop has begun.
	leaving atomic.Bool
}

// New opens the sockets of an entry process. Nothing is forwarded until Run.
func New(s lhconf.Settings, log zerolog.Logger) (*Entry, error) {
	return NewOn(Network{}, s, log)
}

// NewOn is New on a network other than the system's.
func NewOn(n Network, s lhconf.Settings, log zerolog.Logger) (*Entry, error) {
	e := &Entry{
		settings: s,
		network:  n,
		log:      log,
		started:  time.Now(),
		tagKey:   lhwire.NewTagKey(s.Seed),
		fabric:   make(map[netip.Addr]bool, len(s.Fabric)),
	}
	if err := e.openKeys(); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	for _, a := range s.Fabric {
		e.fabric[a.Unmap()] = true
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
	e.runner = lhstore.NewRunner(e.store, e.watching, e.SetConfig)
	e.node = lhpeer.NewNode(e.nodeSettings())
	e.node.OnView(e.setView)
	e.addWorkers()
	e.reports.client = newReportClient()
	return e, nil
}

// openKeys reads the VM's keys, if the settings name any.
func (e *Entry) openKeys() error {
	t := e.settings.TLS
	if !t.Enabled() {
		return nil
	}
	files := lhkey.Files{CA: t.CA, Certificate: t.Certificate, Key: t.Key}
	ring, err := lhkey.Open(files, e.settings.Group, e.log)
	e.keys = ring
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
		return lhcode.Wrap(lhcode.SocketFailed, err, "open the operators' socket")
	}
	e.socket = socket
	e.ops = ops
	if e.settings.TLS.Operators {
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
		Records:  records{e},
		Configs:  configs{e.runner},
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

// Data returns the address that the process receives Geneve packets at.
func (e *Entry) Data() netip.AddrPort {
	return e.socket.Address()
}

// Ops returns the address that the process serves operators at.
func (e *Entry) Ops() netip.AddrPort {
	return e.ops.Addr().(*net.TCPAddr).AddrPort()
}

// Control returns the address that the process serves its peers at; it is valid
// once Run has been called.
func (e *Entry) Control() netip.AddrPort {
	view := e.node.View()
	if view == nil {
		return netip.AddrPort{}
	}
	self, _ := view.Member(view.Self)
	return self.Control
}

// SetConfig puts a configuration in force. A lower revision than the one in force
// is passed over.
func (e *Entry) SetConfig(cfg lhconf.Config) {
	before := e.table.Load()
	if cfg.Revision < before.Revision() {
		return
	}
	table := before.Next(&cfg)
	e.work.SetTable(e.now(), table)
	e.table.Store(table)
	e.log.Info().Uint64("revision", cfg.Revision).Msg("configuration in force")
}

// now returns the monotonic time since the process started.
func (e *Entry) now() time.Duration { return time.Since(e.started) }

// innerLimit returns the size of the largest inner packet that fits into the MTU, in
// bytes. Any packet may have to pass through another VM, which takes more room than
// the way to a backend server.
func (e *Entry) innerLimit() int {
	outer := outerIPv4
	if e.Data().Addr().Is6() {
		outer = outerIPv6
	}
	return e.settings.MTU - outer - lhwire.RelayOverhead
}

// Run takes part in the group and forwards packets until ctx ends, and then stops
// as planned: it hands its flows over and goes on forwarding while packets still
// arrive, within the bound of the settings. Once kill ends it stops at once. The
// channel then gives the first error, or nil.
func (e *Entry) Run(ctx, kill context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- e.run(ctx, kill) }()
	return done
}

func (e *Entry) run(ctx, kill context.Context) error {
	return lifecycle{start: e.start, stop: e.stop, close: func() { _ = e.socket.Close() }}.run(ctx, kill)
}

// start starts the goroutines of the process and returns their number; each sends
// its end on ended.
func (e *Entry) start(ctx context.Context, ended chan<- error) int {
	node, runner := e.node.Run(ctx), e.runner.Run(ctx)
	compactor := lhstore.NewCompactor(e.store, e.holder(), lhstore.RetainedRevisions, time.Now)
	compaction := compactor.Run(ctx, e.watching)
	e.log.Info().Stringer("data", e.Data()).Stringer("control", e.Control()).Stringer("ops", e.Ops()).
		Msg("listening")
	if e.keys == nil {
		e.log.Warn().Msg("peers are not authenticated; see [tls] in the settings")
	}
	parts := []func(context.Context) error{
		func(context.Context) error { return <-node },
		func(context.Context) error { return <-runner },
		func(context.Context) error { return <-compaction },
		e.serveOps,
		e.handOver,
		e.housekeep,
		e.lookAround,
		e.followList,
		e.askReports,
	}
	for _, w := range e.workers {
		parts = append(parts, w.run)
	}
	return startParts(ctx, ended, parts...)
}

// holder returns the name under which this run of the process asks for leases.
func (e *Entry) holder() string {
	return fmt.Sprintf("%s-%d", e.settings.Name, e.started.UnixNano())
}

// serveOps serves operators until the context ends.
func (e *Entry) serveOps(ctx context.Context) error {
	handler, err := lhops.NewHandler(e)
	if err != nil {
		return err
	}
	var faults *log.Logger
	if e.keys != nil {
		faults = e.keys.ErrorLog()
	}
	return serve(ctx, e.ops, handler, faults)
}

// opsTimeout is how long an operator's request may take to arrive.
const opsTimeout = 5 * time.Second
