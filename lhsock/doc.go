// Package lhsock opens the UDP sockets that Geneve packets travel on.
//
// The runtime lets one goroutine at a time read a net.UDPConn, and one write it,
// so further goroutines on the same one gain nothing. A Socket therefore has
// several handles: file descriptors of one and the same socket, each for one
// goroutine. The system hands each datagram to whichever of them reads first, so
// datagrams that follow closely on each other may be handled out of order.
//
//	s, err := lhsock.Open(address, 4)
//	for _, h := range s.Handles() {
//		go func() { ended <- lhsock.Serve(ctx, h, handle, nil) }()
//	}
//	s.Close()
package lhsock
