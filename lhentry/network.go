package lhentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
)

// Network is how an entry process reaches others. The zero Network is the
// system's; the others let a process be cut off from some addresses.
type Network struct {
	// Dial opens connections to peers and to the platform; nil is the system's way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Reaches reports whether packets get to an address; nil lets all through.
	Reaches func(netip.AddrPort) bool
}

// transport returns the transport for calls to the platform; nil is the default one.
func (n Network) transport() http.RoundTripper {
	if n.Dial == nil {
		return nil
	}
	return &http.Transport{DialContext: n.Dial}
}

func (n Network) reaches(to netip.AddrPort) bool {
	return n.Reaches == nil || n.Reaches(to)
}
