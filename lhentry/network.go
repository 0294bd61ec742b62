package lhentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
)

// Network is how an entry process connects to others. The zero Network is the system's
// network; tests use others to simulate network partitions.
type Network struct {
	// Dial opens connections to peers and to the platform; nil selects a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Reachable reports whether datagrams can reach an address; nil reports true for all.
	Reachable func(netip.AddrPort) bool
}

// transport returns the transport for calls to the platform; nil selects the default.
func (n Network) transport() http.RoundTripper {
	if n.Dial == nil {
		return nil
	}
	return &http.Transport{DialContext: n.Dial}
}

func (n Network) reachable(to netip.AddrPort) bool {
	return n.Reachable == nil || n.Reachable(to)
}
