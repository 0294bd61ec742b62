package lhpeer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhkey"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

const (
	// idleTimeout is how long an unused connection to a peer is kept open.
	idleTimeout = 30 * time.Second
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// maxMessage is the size limit for a received message in bytes; configurations
	// are the largest messages that peers send.
	maxMessage = 16 << 20
	// handshakeTimeout limits the TLS handshake of a connection.
	handshakeTimeout = 2 * time.Second
)

// transport manages the connections of a VM to its peers.
type transport struct {
	budget *budget
	// keys is nil if peers communicate in cleartext.
	keys *lhkey.Credentials
	http *http.Transport
	// dialPeer opens a connection.
	dialPeer func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// conns holds the open connections by peer address.
	conns map[string]map[net.Conn]struct{}
	// generation is the generation of the keys at the last call of client.
	generation uint64
}

// protocols returns HTTP/2 as the only protocol, over TLS if there are keys.
func protocols(keys *lhkey.Credentials) *http.Protocols {
	p := new(http.Protocols)
	if keys == nil {
		p.SetUnencryptedHTTP2(true)
	} else {
		p.SetHTTP2(true)
	}
	return p
}

func newTransport(b *budget, keys *lhkey.Credentials, dial func(context.Context, string, string) (net.Conn, error)) *transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	t := &transport{
		budget:   b,
		keys:     keys,
		dialPeer: dial,
		conns:    make(map[string]map[net.Conn]struct{}),
	}
	t.http = &http.Transport{
		DialContext:     t.dial,
		DialTLSContext:  t.dialTLS,
		Protocols:       protocols(keys),
		IdleConnTimeout: idleTimeout,
	}
	return t
}

// client returns a client for the peer at a control address.
func (t *transport) client(control netip.AddrPort) lhpeerv1.PeerServiceClient {
	scheme := "http://"
	if t.keys != nil {
		scheme = "https://"
		t.closeStaleConns()
	}
	return lhpeerv1.NewPeerServiceClient(
		&http.Client{Transport: t.http},
		scheme+control.String(),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessage),
	)
}

// closeStaleConns closes the idle connections that were opened with earlier keys.
func (t *transport) closeStaleConns() {
	generation := t.keys.Generation()
	t.mu.Lock()
	changed := generation != t.generation
	t.generation = generation
	t.mu.Unlock()
	if changed {
		t.http.CloseIdleConnections()
	}
}

// dial opens a connection that is counted and tracked.
func (t *transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dialPeer(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: &countedConn{Conn: c, budget: t.budget}, owner: t, address: address}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = make(map[net.Conn]struct{})
	}
	t.conns[address][tracked] = struct{}{}
	return tracked, nil
}

// dialTLS opens a connection and verifies that the peer belongs to the group.
func (t *transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secure, err := t.keys.Handshake(ctx, c)
	if err != nil {
		return nil, err
	}
	return secure, nil
}

// drop closes the connections to a peer that did not answer. After a network
// partition, a new connection works immediately, while an old one waits for its
// retransmission timer.
func (t *transport) drop(control netip.AddrPort) {
	t.mu.Lock()
	var conns []net.Conn
	for c := range t.conns[control.String()] {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		// The connection is discarded, so an error of Close does not matter.
		_ = c.Close()
	}
}

// close closes all idle connections.
func (t *transport) close() { t.http.CloseIdleConnections() }

// trackedConn removes itself from the transport's connections when it is closed.
type trackedConn struct {
	net.Conn
	owner   *transport
	address string
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns[c.address], c)
	if len(c.owner.conns[c.address]) == 0 {
		delete(c.owner.conns, c.address)
	}
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
