package lhkey

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// ALPN protocol names.
const (
	protocolHTTP2 = "h2"
	protocolHTTP1 = "http/1.1"
)

// peerCurves lists the key exchanges between peers. A hybrid key exchange with ML-KEM
// would double the bytes of a handshake, which count against the control traffic
// budget.
var peerCurves = []tls.CurveID{tls.X25519}

// Credentials holds the keys and certificates of one VM and reloads them when their
// files change. Use Open to create one.
type Credentials struct {
	files Files
	// dnsName is the DNS name that all members of the group share.
	dnsName string
	clock   func() time.Time
	log     zerolog.Logger

	reloads, failedReloads, failedHandshakes atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// keys is never nil. The value is immutable; a reload replaces the pointer.
	keys *keyMaterial
	// filesUnusable is set while the files on disk are unusable.
	filesUnusable bool
}

// Counters contains the counters of Credentials since they were opened.
type Counters struct {
	// Reloads counts successful reloads of changed files.
	Reloads uint64
	// FailedReloads counts reload attempts that found unusable files.
	FailedReloads uint64
	// FailedHandshakes counts failed handshakes, both as client and as server.
	FailedHandshakes uint64
}

// GroupDNSName returns the DNS name in every certificate of a group.
func GroupDNSName(group string) string { return group + ".peers" }

// Open loads the keys of a VM. Its error has the code lhcode.FileUnreadable or
// lhcode.KeyInvalid.
func Open(files Files, group string, logger zerolog.Logger) (*Credentials, error) {
	r := &Credentials{files: files, dnsName: GroupDNSName(group), clock: time.Now, log: logger}
	keys, err := loadKeyMaterial(files, r.dnsName, r.clock())
	if err != nil {
		return nil, err
	}
	r.keys = keys
	return r, nil
}

// ServerConfig returns the TLS configuration for incoming peer connections. It
// requires a client certificate of the group.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k := c.currentKeys()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				CurvePreferences: peerCurves,
				Time:             c.clock,
				NextProtos:       []string{protocolHTTP2},
				Certificates:     []tls.Certificate{k.certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        k.authorities,
				// Members rarely reconnect, so session tickets would be wasted traffic.
				SessionTicketsDisabled: true,
				VerifyConnection:       c.verifyClientName,
			}, nil
		},
	}
}

// OperatorConfig returns the TLS configuration for connections from operators, who
// present no client certificate.
func (c *Credentials) OperatorConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolHTTP2, protocolHTTP1},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.currentKeys().certificate, nil
		},
	}
}

// Handshake performs the client side of a TLS handshake with a peer. It closes conn
// if the handshake fails, for example because the peer does not belong to the group.
func (c *Credentials) Handshake(ctx context.Context, conn net.Conn) (*tls.Conn, error) {
	k := c.currentKeys()
	tlsConn := tls.Client(conn, &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: peerCurves,
		Time:             c.clock,
		NextProtos:       []string{protocolHTTP2},
		Certificates:     []tls.Certificate{k.certificate},
		RootCAs:          k.authorities,
		ServerName:       c.dnsName,
	})
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		c.failedHandshakes.Add(1)
		_ = conn.Close()
		return nil, lhcode.Wrap(lhcode.PeerRefused, err, "TLS handshake with the peer")
	}
	return tlsConn, nil
}

// VerifyPeer checks the peer of an open connection against the current keys, which
// may have been reloaded since the handshake.
func (c *Credentials) VerifyPeer(state *tls.ConnectionState) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return lhcode.New(lhcode.PeerRefused, "the peer presented no certificate")
	}
	k := c.currentKeys()
	leaf, intermediates := state.PeerCertificates[0], state.PeerCertificates[1:]
	err := k.verify(leaf, intermediates, c.dnsName, c.clock(), x509.ExtKeyUsageClientAuth)
	return lhcode.Wrap(lhcode.PeerRefused, err, "verify the peer's certificate")
}

func (c *Credentials) verifyClientName(state tls.ConnectionState) error {
	return state.PeerCertificates[0].VerifyHostname(c.dnsName)
}

// Generation returns a number that increases with each reload. It checks the files
// first.
func (c *Credentials) Generation() uint64 {
	c.currentKeys()
	return c.reloads.Load()
}

// Counters returns a snapshot of the counters.
func (c *Credentials) Counters() Counters {
	return Counters{
		Reloads:          c.reloads.Load(),
		FailedReloads:    c.failedReloads.Load(),
		FailedHandshakes: c.failedHandshakes.Load(),
	}
}

// currentKeys returns the current keys, after reloading them if the files have
// changed.
func (c *Credentials) currentKeys() *keyMaterial {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.filesUnusable && c.keys.unchanged(c.files) {
		return c.keys
	}
	loaded, err := loadKeyMaterial(c.files, c.dnsName, c.clock())
	if err != nil {
		c.failedReloads.Add(1)
		if !c.filesUnusable {
			c.log.Warn().Err(err).Msg("reloading the TLS keys failed; the previous keys stay in use")
		}
		c.filesUnusable = true
		return c.keys
	}
	c.keys = loaded
	c.filesUnusable = false
	c.reloads.Add(1)
	c.log.Info().Time("until", loaded.certificate.Leaf.NotAfter).Msg("TLS keys reloaded")
	return c.keys
}

// ErrorLog returns the ErrorLog for an http.Server that uses these keys: failed
// handshakes are counted, all other messages are logged.
func (c *Credentials) ErrorLog() *log.Logger {
	return log.New(&httpErrorLog{credentials: c}, "", 0)
}
