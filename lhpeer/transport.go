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
	// idleTimeout is how long a connection to a peer is kept without use.
	idleTimeout = 30 * time.Second
	// dialTimeout limits the opening of a connection.
	dialTimeout = time.Second
	// maxMessage is the size in bytes of the largest message that is taken in; a
	// configuration is the largest that peers send.
	maxMessage = 16 << 20
	// handshakeTimeout limits the TLS handshake on a connection.
	handshakeTimeout = 2 * time.Second
)

// transport holds the connections of a VM to its peers.
type transport struct {
	budget *budget
	// keys is nil where peers speak in cleartext.
	keys *lhkey.Credentials
	http *http.Transport
	// dialPeer opens a connection.
	dialPeer func(ctx context.Context, network, address string) (net.Conn, error)

	mu sync.Mutex
	// conns holds the open connections by the address of the peer.
	conns map[string]map[net.Conn]struct{}
	// generation is that of the keys when clients were last made.
	generation uint64
}

// protocols returns the one protocol that peers speak.
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

// client returns a client of the peer at a control address.
func (t *transport) client(control netip.AddrPort) lhpeerv1.PeerServiceClient {
	scheme := "http://"
	if t.keys != nil {
		scheme = "https://"
		t.renew()
	}
	return lhpeerv1.NewPeerServiceClient(
		&http.Client{Transport: t.http},
		scheme+control.String(),
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessage),
	)
}

// renew closes the idle connections that were opened with earlier keys.
func (t *transport) renew() {
	generation := t.keys.Generation()
	t.mu.Lock()
	changed := generation != t.generation
	t.generation = generation
	t.mu.Unlock()
	if changed {
		t.http.CloseIdleConnections()
	}
}

// dial opens a connection that is counted and can be dropped.
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

// dialTLS opens a connection to a peer that proves that it belongs to the group.
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

// drop closes the connections to a peer that did not answer. After a cut a new
// connection works at once, where the old one waits for its retransmission timer.
func (t *transport) drop(control netip.AddrPort) {
	t.mu.Lock()
	var conns []net.Conn
	for c := range t.conns[control.String()] {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		// The connection is given up, so how its end went does not matter.
		_ = c.Close()
	}
}

// close ends all connections.
func (t *transport) close() { t.http.CloseIdleConnections() }

// trackedConn leaves the transport's list when it is closed.
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
