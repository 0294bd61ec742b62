package lhpeer

import (
	"net/http"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhkey"
)

// requireAuthentication passes on requests of peers whose certificate is still
// valid. The TLS handshake has verified the certificate, but a connection may
// outlive the validity of the certificate and of the authority that issued it.
func requireAuthentication(keys *lhkey.Credentials, next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := keys.VerifyPeer(r.TLS); err != nil {
			// A write error means that the peer has disconnected and needs no
			// reply.
			_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnauthenticated, err))
			return
		}
		next.ServeHTTP(w, r)
	})
}
