package lhsock

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// MaxDatagram is the maximum size of a UDP datagram, in bytes.
	MaxDatagram = 1 << 16
	// bufferSize is the requested size of the receive and send buffers, in bytes.
	bufferSize = 8 << 20
)

// Socket is one UDP socket with several handles.
type Socket struct {
	// handles holds the file descriptors of the socket; there is at least one.
	handles []*net.UDPConn
}

// Open opens a socket with the given number of handles. If the port of address is 0, the
// system assigns one.
func Open(address netip.AddrPort, handles int) (*Socket, error) {
	first, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, lhcode.Wrap(lhcode.SocketFailed, err, "open a UDP socket")
	}
	// The system may grant smaller buffers; that is not an error.
	_ = first.SetReadBuffer(bufferSize)
	_ = first.SetWriteBuffer(bufferSize)
	s := &Socket{handles: []*net.UDPConn{first}}
	for len(s.handles) < handles {
		h, err := duplicate(first)
		if err != nil {
			_ = s.Close()
			return nil, lhcode.Wrap(lhcode.SocketFailed, err, "duplicate a UDP socket")
		}
		s.handles = append(s.handles, h)
	}
	return s, nil
}

// duplicate returns another handle of a socket.
func duplicate(c *net.UDPConn) (*net.UDPConn, error) {
	file, err := c.File()
	if err != nil {
		return nil, err
	}
	defer file.Close()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UDPConn), nil
}

// Handles returns the handles.
func (s *Socket) Handles() []*net.UDPConn { return s.handles }

// Address returns the local address of the socket.
func (s *Socket) Address() netip.AddrPort {
	return unmap(s.handles[0].LocalAddr().(*net.UDPAddr).AddrPort())
}

// Waiting reports whether a datagram waits to be read.
func (s *Socket) Waiting() (bool, error) {
	raw, err := s.handles[0].SyscallConn()
	if err != nil {
		return false, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
	})
	switch {
	case err != nil:
		return false, err
	case errors.Is(peekErr, syscall.EAGAIN):
		return false, nil
	}
	return peekErr == nil, peekErr
}

// Close closes all handles, which ends their calls of Serve.
func (s *Socket) Close() error {
	var all error
	for _, h := range s.handles {
		all = errors.Join(all, h.Close())
	}
	return all
}

// Serve reads datagrams from h and calls handle for each, with an IPv4 sender in its
// 4-byte form. The datagram is valid only during the call. Serve returns nil when ctx is
// done or the handle is closed. Other read errors report the fate of datagrams sent
// earlier: Serve continues after them and calls failed for each if failed is not nil.
func Serve(ctx context.Context, h *net.UDPConn, handle func(datagram []byte, from netip.AddrPort), failed func()) error {
	buf := make([]byte, MaxDatagram)
	for {
		n, from, err := h.ReadFromUDPAddrPort(buf)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err == nil:
			handle(buf[:n], unmap(from))
		case failed != nil:
			failed()
		}
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
