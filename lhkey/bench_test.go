package lhkey

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkHandshake measures a handshake between two VMs, both sides in one
// process, and the bytes that each side writes.
func BenchmarkHandshake(b *testing.B) {
	a := newAuthority(b, "hokkaido")
	client := open(b, save(b, a, "hokkaido", now), "hokkaido", now)
	server := open(b, save(b, a, "hokkaido", now), "hokkaido", now)
	var fromClient, fromServer int
	for b.Loop() {
		near, far := connect(b)
		clientErr, serverErr := handshakeOn(b, client, server,
			&writeCounter{Conn: near, written: &fromClient}, &writeCounter{Conn: far, written: &fromServer})
		assert.NilError(b, clientErr)
		assert.NilError(b, serverErr)
	}
	b.ReportMetric(float64(fromClient)/float64(b.N), "client-B/op")
	b.ReportMetric(float64(fromServer)/float64(b.N), "server-B/op")
}

// writeCounter adds up what is written to a connection.
type writeCounter struct {
	net.Conn
	written *int
}

// Write counts what it writes.
func (c *writeCounter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	*c.written += n
	return n, err
}
