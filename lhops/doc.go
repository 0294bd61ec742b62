// Package lhops is the operators' side of an entry process.
//
// An entry process offers what it knows of itself as a Source: two plain values,
// a Dump of its state and its Health. Nothing is counted here and nothing is
// asked of the packet path; a Dump is taken when an operator asks for one. The
// package makes of them:
//
//   - GET /dump: the whole state as JSON, aggregated by service and backend
//     server, so that its size follows the configuration and not the flows, and
//     cut to a fixed number of entries; ?service=NAME limits it to one service;
//   - GET /status: the few lines of it that show at a glance where a VM stands;
//   - GET /health: 200 while the VM takes packets, and 503 with the reason while
//     it starts or leaves, so that the fabric can stop in time;
//   - GET /metrics: the same numbers for a Prometheus server, by OpenTelemetry.
//
// It is laid out as a go-kit service: Service holds the rules, Endpoints turn its
// methods into request and response values, and the transport carries these over
// HTTP. Client is the other end; it implements Service too.
//
//	handler, err := lhops.NewHandler(source)
//	service, err := lhops.NewClient("http://10.0.1.11:7002", http.DefaultClient)
package lhops
