package lhkey

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkHandshake measures a handshake between two VMs in one process and the
// bytes that each side writes.
func BenchmarkHandshake(b *testing.B) {
	a := newAuthority(b, "hokkaido")
	client := openAt(b, writeKeyFiles(b, a, "hokkaido", now), "hokkaido", now)
	server := openAt(b, writeKeyFiles(b, a, "hokkaido", now), "hokkaido", now)
	var fromClient, fromServer int
	for b.Loop() {
		clientConn, serverConn := connect(b)
		clientErr, serverErr := handshakeOn(b, client, server,
			&writeCounter{Conn: clientConn, written: &fromClient}, &writeCounter{Conn: serverConn, written: &fromServer})
		assert.NilError(b, clientErr)
		assert.NilError(b, serverErr)
	}
	b.ReportMetric(float64(fromClient)/float64(b.N), "client-B/op")
	b.ReportMetric(float64(fromServer)/float64(b.N), "server-B/op")
}

// writeCounter counts the bytes written to a connection.
type writeCounter struct {
	net.Conn
	written *int
}

// Write implements net.Conn.
func (c *writeCounter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	*c.written += n
	return n, err
}
