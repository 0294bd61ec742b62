package lhentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// Sizes of outer headers in bytes.
const (
	outerIPv4 = 20 + 8
	outerIPv6 = 40 + 8
	// socketBuffer is what the system is asked to keep of packets not yet read.
	socketBuffer = 8 << 20
)

// Entry is the process on one entry VM.
type Entry struct {
	settings lhconf.Settings
	log      zerolog.Logger
	self     lhflow.MemberID
	started  time.Time
	// fabric holds the addresses that callers' packets come from.
	fabric map[netip.Addr]bool
	socket *net.UDPConn
	engine *lhflow.Engine
	// table is never nil.
	table   atomic.Pointer[lhplace.Table]
	workers []*forwarder
}

// New opens the sockets of an entry process. Nothing is forwarded until Run.
func New(s lhconf.Settings, log zerolog.Logger) (*Entry, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Data))
	if err != nil {
		return nil, lhcode.Wrap(lhcode.Internal, err, "open the data socket")
	}
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e := &Entry{
		settings: s,
		log:      log,
		started:  time.Now(),
		socket:   socket,
		fabric:   make(map[netip.Addr]bool, len(s.Fabric)),
	}
	e.self = lhpeer.NewMemberID(e.started, 0, rng)
	for _, a := range s.Fabric {
		e.fabric[a.Unmap()] = true
	}
	e.table.Store(lhplace.NewTable(nil))
	e.engine = lhflow.NewEngine(e.self, placer{e}, e.limits())
	e.addWorkers()
	return e, nil
}

func (e *Entry) limits() lhflow.Limits {
	return lhflow.Limits{
		Flows:   e.settings.Flows,
		Lease:   e.settings.Lease,
		IdleTCP: e.settings.IdleTCP,
		IdleUDP: e.settings.IdleUDP,
	}
}

func (e *Entry) addWorkers() {
	n := e.settings.Workers
	if n == 0 {
		n = runtime.GOMAXPROCS(0)
	}
	for range n {
		e.workers = append(e.workers, newForwarder(e))
	}
}

// Data returns the address of the data socket.
func (e *Entry) Data() netip.AddrPort {
	return e.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetConfig puts a configuration in force. The VM never goes back to a lower revision.
func (e *Entry) SetConfig(cfg *lhconf.Config) {
	if cfg.Revision < e.table.Load().Revision() {
		return
	}
	e.table.Store(lhplace.NewTable(cfg))
	e.log.Info().Uint64("revision", cfg.Revision).Msg("configuration in force")
}

// now returns the monotonic time since the process started.
func (e *Entry) now() time.Duration { return time.Since(e.started) }

// innerLimit returns the size of the largest inner packet that fits into the MTU
// on the way to an address, in bytes.
func (e *Entry) innerLimit(to netip.AddrPort) int {
	outer := outerIPv4
	if to.Addr().Is6() && !to.Addr().Is4In6() {
		outer = outerIPv6
	}
	return e.settings.MTU - outer - lhwire.Overhead
}

// Run forwards packets until the context ends. The channel then gives the first
// error, or nil.
func (e *Entry) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- e.run(ctx) }()
	return done
}

func (e *Entry) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.Close() })
	defer stop()
	ended := make(chan error, len(e.workers))
	for _, w := range e.workers {
		go func() { ended <- w.run(ctx) }()
	}
	var first error
	for range e.workers {
		if err := <-ended; first == nil {
			first = err
		}
	}
	return first
}
