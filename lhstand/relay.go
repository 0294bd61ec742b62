package lhstand

import (
	"context"
	"errors"
	"net"
	"net/netip"
)

// Relay passes datagrams between a fabric and one backend server and looks into
// none. It is what an entry process is measured against.
type Relay struct {
	// Fabric and Server are the two ends. Set them before Run.
	Fabric, Server netip.AddrPort

	socket *net.UDPConn
}

// Open opens the relay's socket.
func (r *Relay) Open(address netip.AddrPort) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	r.socket = socket
	return nil
}

// Address returns where the relay receives datagrams.
func (r *Relay) Address() netip.AddrPort {
	return r.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Run passes datagrams on, in so many goroutines, until the context ends. The
// channel then gives an error or nil.
func (r *Relay) Run(ctx context.Context, workers int) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = r.socket.Close() })
	ended := make(chan error, workers)
	for range workers {
		go func() { ended <- r.forward(ctx) }()
	}
	go func() {
		defer stop()
		var all error
		for range workers {
			all = errors.Join(all, <-ended)
		}
		done <- all
	}()
	return done
}

func (r *Relay) forward(ctx context.Context) error {
	buf := make([]byte, bufferSize)
	for {
		n, from, err := r.socket.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		to := r.Server
		if from.Addr().Unmap() == r.Server.Addr() && from.Port() == r.Server.Port() {
			to = r.Fabric
		}
		_, _ = r.socket.WriteToUDPAddrPort(buf[:n], to)
	}
}
