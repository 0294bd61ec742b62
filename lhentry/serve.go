package lhentry

import (
	"context"
	"log"
	"net"
	"net/http"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// serve serves HTTP until ctx is done. It logs connection errors to errorLog, or to the
// standard logger if errorLog is nil.
func serve(ctx context.Context, l net.Listener, h http.Handler, errorLog *log.Logger) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: errorLog}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); ctx.Err() == nil && err != http.ErrServerClosed {
		return lhcode.Wrap(lhcode.SocketFailed, err, "serve HTTP")
	}
	return nil
}
