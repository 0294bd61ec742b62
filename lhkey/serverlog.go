package lhkey

import "bytes"

// handshakePrefix is the start of the line that http.Server logs for a failed
// handshake.
const handshakePrefix = "http: TLS handshake error"

// httpErrorLog is the output of an http.Server's ErrorLog.
type httpErrorLog struct{ credentials *Credentials }

// Write handles one log line.
func (l *httpErrorLog) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, []byte(handshakePrefix)) {
		l.credentials.failedHandshakes.Add(1)
		return len(line), nil
	}
	l.credentials.log.Error().Bytes("line", bytes.TrimSpace(line)).Msg("HTTP server error")
	return len(line), nil
}
