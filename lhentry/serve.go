package lhentry

import (
	"context"
	"log"
	"net"
	"net/http"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// serve serves HTTP until the context ends. Faults of connections go to a log, or to
// the standard one where it is nil.
func serve(ctx context.Context, l net.Listener, h http.Handler, faults *log.Logger) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: opsTimeout, ErrorLog: faults}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); ctx.Err() == nil && err != http.ErrServerClosed {
		return lhcode.Wrap(lhcode.SocketFailed, err, "serve HTTP")
	}
	return nil
}
