// Package lhsock opens the UDP sockets for Geneve packets.
//
// A net.UDPConn can be read by only one goroutine at a time, and written by only one, so
// using one from more goroutines does not increase throughput. A Socket therefore has
// several handles: file descriptors of the same socket, one per goroutine. The system
// delivers each datagram to the handle that reads first, so datagrams that arrive in quick
// succession may be processed out of order.
//
//	s, err := lhsock.Open(address, 4)
//	for _, h := range s.Handles() {
//		go func() { ended <- lhsock.Serve(ctx, h, handle, nil) }()
//	}
//	s.Close()
package lhsock
