package lhstand

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhsock"
)

// Relay passes datagrams between a fabric and one backend server and looks into
// none. It is what an entry process is measured against.
type Relay struct {
	// Fabric and Server are the two ends. Set them before Run.
	Fabric, Server netip.AddrPort

	socket *lhsock.Socket
}

// Open opens the relay's socket for so many goroutines.
func (r *Relay) Open(address netip.AddrPort, workers int) error {
	socket, err := lhsock.Open(address, workers)
	r.socket = socket
	return err
}

// Address returns where the relay receives datagrams.
func (r *Relay) Address() netip.AddrPort { return r.socket.Address() }

// Run passes datagrams on until the context ends. The channel then gives an error
// or nil.
func (r *Relay) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = r.socket.Close() })
	handles := r.socket.Handles()
	ended := make(chan error, len(handles))
	for _, h := range handles {
		go func() { ended <- r.forward(ctx, h) }()
	}
	go func() {
		defer stop()
		var all error
		for range handles {
			all = errors.Join(all, <-ended)
		}
		done <- all
	}()
	return done
}

func (r *Relay) forward(ctx context.Context, h *net.UDPConn) error {
	return lhsock.Serve(ctx, h, func(datagram []byte, from netip.AddrPort) {
		to := r.Server
		if from == r.Server {
			to = r.Fabric
		}
		_, _ = h.WriteToUDPAddrPort(datagram, to)
	}, nil)
}
