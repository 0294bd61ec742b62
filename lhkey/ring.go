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

// The protocols that are agreed on in a handshake.
const (
	protocolHTTP2 = "h2"
	protocolHTTP1 = "http/1.1"
)

// peerCurves are the key exchanges between peers. A hybrid with ML-KEM would double
// the bytes of a handshake, which count against the budget for control traffic.
var peerCurves = []tls.CurveID{tls.X25519}

// Ring is the keys of one VM, as they stand in its files. It is made by Open.
type Ring struct {
	files Files
	// name is the DNS name of all members of the group.
	name  string
	clock func() time.Time
	log   zerolog.Logger

	renewals, failedRenewals, failedHandshakes atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// keys is never nil and never changed; newer files lead to another value.
	keys *keys
	// broken is set while the files hold something that can't be used.
	broken bool
}

// Counters is what a Ring has counted since it was opened.
type Counters struct {
	// Renewals counts changes of the files that were taken in.
	Renewals uint64
	// FailedRenewals counts readings of changed files that could not be used.
	FailedRenewals uint64
	// FailedHandshakes counts handshakes that failed, as client and as server.
	FailedHandshakes uint64
}

// GroupName returns the DNS name that each certificate of a group holds.
func GroupName(group string) string { return group + ".peers" }

// Open reads the keys of a VM. The error has lhcode.FileUnreadable or
// lhcode.KeyInvalid.
func Open(files Files, group string, logger zerolog.Logger) (*Ring, error) {
	r := &Ring{files: files, name: GroupName(group), clock: time.Now, log: logger}
	keys, err := readKeys(files, r.name, r.clock())
	if err != nil {
		return nil, err
	}
	r.keys = keys
	return r, nil
}

// Server returns the settings for peers that connect: each has to show a
// certificate of the group.
func (r *Ring) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k := r.current()
			return &tls.Config{
				MinVersion:       tls.VersionTLS13,
				CurvePreferences: peerCurves,
				Time:             r.clock,
				NextProtos:       []string{protocolHTTP2},
				Certificates:     []tls.Certificate{k.certificate},
				ClientAuth:       tls.RequireAndVerifyClientCert,
				ClientCAs:        k.authorities,
				// A member seldom connects anew, so tickets would be sent in vain.
				SessionTicketsDisabled: true,
				VerifyConnection:       r.verifyName,
			}, nil
		},
	}
}

// Operators returns the settings for operators that connect; they show no
// certificate.
func (r *Ring) Operators() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolHTTP2, protocolHTTP1},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.current().certificate, nil
		},
	}
}

// Handshake makes a connection to a peer a secure one. It closes the connection
// when the peer does not belong to the group.
func (r *Ring) Handshake(ctx context.Context, conn net.Conn) (*tls.Conn, error) {
	k := r.current()
	secure := tls.Client(conn, &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: peerCurves,
		Time:             r.clock,
		NextProtos:       []string{protocolHTTP2},
		Certificates:     []tls.Certificate{k.certificate},
		RootCAs:          k.authorities,
		ServerName:       r.name,
	})
	if err := secure.HandshakeContext(ctx); err != nil {
		r.failedHandshakes.Add(1)
		_ = conn.Close()
		return nil, lhcode.Wrap(lhcode.PeerRefused, err, "handshake")
	}
	return secure, nil
}

// Verify checks the peer of an open connection against the keys of this moment.
func (r *Ring) Verify(state *tls.ConnectionState) error {
	if state == nil || len(state.PeerCertificates) == 0 {
		return lhcode.New(lhcode.PeerRefused, "the peer shows no certificate")
	}
	k := r.current()
	leaf, rest := state.PeerCertificates[0], state.PeerCertificates[1:]
	err := k.verify(leaf, rest, r.name, r.clock(), x509.ExtKeyUsageClientAuth)
	return lhcode.Wrap(lhcode.PeerRefused, err, "the peer's certificate")
}

func (r *Ring) verifyName(state tls.ConnectionState) error {
	return state.PeerCertificates[0].VerifyHostname(r.name)
}

// Generation returns a number that grows with each change of the files.
func (r *Ring) Generation() uint64 {
	r.current()
	return r.renewals.Load()
}

// Counters returns what the ring has counted.
func (r *Ring) Counters() Counters {
	return Counters{
		Renewals:         r.renewals.Load(),
		FailedRenewals:   r.failedRenewals.Load(),
		FailedHandshakes: r.failedHandshakes.Load(),
	}
}

// current returns the keys, after a look at the files.
func (r *Ring) current() *keys {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.broken && r.keys.fresh(r.files) {
		return r.keys
	}
	next, err := readKeys(r.files, r.name, r.clock())
	if err != nil {
		r.failedRenewals.Add(1)
		if !r.broken {
			r.log.Warn().Err(err).Msg("new keys can't be used; the old ones stay in force")
		}
		r.broken = true
		return r.keys
	}
	r.keys = next
	r.broken = false
	r.renewals.Add(1)
	r.log.Info().Time("until", next.certificate.Leaf.NotAfter).Msg("new keys in force")
	return r.keys
}

// ErrorLog returns the log for an http.Server that uses the ring: failed handshakes
// are counted, everything else is logged.
func (r *Ring) ErrorLog() *log.Logger {
	return log.New(&serverLog{ring: r}, "", 0)
}
