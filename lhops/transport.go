package lhops

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// NewHandler returns the HTTP handler of the operations API of a process.
func NewHandler(source Source) (http.Handler, error) { return NewHandlerWithLatency(source, nil) }

// NewHandlerWithLatency is like NewHandler and also exports the latency histograms; nil if
// the process has none.
func NewHandlerWithLatency(source Source, latency *LatencyHistograms) (http.Handler, error) {
	metrics, err := newMetrics(source, latency)
	if err != nil {
		return nil, err
	}
	e := metrics.instrument(NewEndpoints(NewService(source)))
	options := kithttp.ServerErrorEncoder(encodeError)
	mux := http.NewServeMux()
	mux.Handle("GET /dump", kithttp.NewServer(e.DumpEndpoint, decodeDumpRequest, kithttp.EncodeJSONResponse, options))
	mux.Handle("GET /status", kithttp.NewServer(e.StatusEndpoint, decodeEmptyRequest, kithttp.EncodeJSONResponse, options))
	mux.Handle("GET /health", kithttp.NewServer(e.HealthEndpoint, decodeEmptyRequest, kithttp.EncodeJSONResponse, options))
	mux.Handle("GET /metrics", metrics.handler())
	return mux, nil
}

// StatusCode returns the HTTP status for the health checks of a load balancer or the
// fabric.
func (h Health) StatusCode() int {
	if h.Ready() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}

func decodeDumpRequest(_ context.Context, r *http.Request) (any, error) {
	return dumpRequest{Service: r.URL.Query().Get("service")}, nil
}

func decodeEmptyRequest(context.Context, *http.Request) (any, error) {
	return emptyRequest{}, nil
}

// errorBody is the JSON form of an error. Text does not repeat the code.
type errorBody struct {
	Code lhcode.Code `json:"code"`
	Text string      `json:"text"`
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	code := lhcode.Of(err)
	status := http.StatusInternalServerError
	if code == lhcode.NotFound {
		status = http.StatusNotFound
	}
	text := strings.TrimPrefix(err.Error(), fmt.Sprintf("[%d] ", code))
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// Encoding fails only if the client has disconnected, so the error is ignored.
	_ = json.NewEncoder(w).Encode(errorBody{Code: code, Text: text})
}
