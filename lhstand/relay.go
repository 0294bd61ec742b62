package lhstand

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhsock"
)

// Relay forwards datagrams between a fabric and one backend server without inspecting
// them. It is the baseline for the performance of an entry process.
type Relay struct {
	// Fabric and Server are the addresses of the two ends. Set them before Run.
	Fabric, Server netip.AddrPort

	socket *lhsock.Socket
}

// Open opens the relay's socket with one handle per worker.
func (r *Relay) Open(address netip.AddrPort, workers int) error {
	socket, err := lhsock.Open(address, workers)
	r.socket = socket
	return err
}

// Address returns the address at which the relay receives datagrams.
func (r *Relay) Address() netip.AddrPort { return r.socket.Address() }

// Run forwards datagrams until the context ends. It then sends an error or nil on the
// returned channel.
func (r *Relay) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = r.socket.Close() })
	handles := r.socket.Handles()
	workerDone := make(chan error, len(handles))
	for _, h := range handles {
		go func() { workerDone <- r.forward(ctx, h) }()
	}
	go func() {
		defer stop()
		var all error
		for range handles {
			all = errors.Join(all, <-workerDone)
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
