// Package lhops provides the operations API of an entry process: state dump, status,
// health and metrics.
//
// An entry process implements Source, which returns two plain values: a Dump of its
// state and its Health. A Dump is taken only when a request asks for one, so the
// package adds no cost to the packet path. The API has these endpoints:
//
//   - GET /dump: the whole state as JSON. It is aggregated by service and backend
//     server, so that its size depends on the configuration and not on the number of
//     flows, and truncated to a fixed number of entries. ?service=NAME limits it to
//     one service;
//   - GET /status: a summary of the dump;
//   - GET /health: 200 while the VM accepts packets, and 503 with a reason while it
//     starts or leaves, so that the fabric stops sending packets in time;
//   - GET /metrics: the same numbers in Prometheus format, through OpenTelemetry.
//
// The package is structured as a go-kit service: Service contains the logic,
// Endpoints turn its methods into functions of request and response values, and the
// transport exposes them over HTTP. NewClient returns a Service that calls a remote
// process.
//
//	handler, err := lhops.NewHandler(source)
//	service, err := lhops.NewClient("http://10.0.1.11:7002", http.DefaultClient)
package lhops
