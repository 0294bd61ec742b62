package lhkey

import "bytes"

// handshakePrefix begins the line that an http.Server logs for a failed handshake.
const handshakePrefix = "http: TLS handshake error"

// serverLog takes the lines that an http.Server logs.
type serverLog struct{ ring *Ring }

// Write takes one line.
func (l *serverLog) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, []byte(handshakePrefix)) {
		l.ring.failedHandshakes.Add(1)
		return len(line), nil
	}
	l.ring.log.Error().Bytes("line", bytes.TrimSpace(line)).Msg("fault of the HTTP server")
	return len(line), nil
}
