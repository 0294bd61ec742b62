package lhpeer

import (
	"net/http"

	"connectrpc.com/connect"

	"github.com/laburnumhollow/laburnumhollow/lhkey"
)

// authenticated passes on the requests of peers whose certificate is still good.
// The handshake has checked it already, but a connection may outlive a certificate
// and the authority that it comes from.
func authenticated(keys *lhkey.Credentials, next http.Handler) http.Handler {
	refuse := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := keys.VerifyPeer(r.TLS); err != nil {
			// A peer that has gone away needs no answer.
			_ = refuse.Write(w, r, connect.NewError(connect.CodeUnauthenticated, err))
			return
		}
		next.ServeHTTP(w, r)
	})
}
