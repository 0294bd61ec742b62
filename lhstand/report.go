package lhstand

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// ReportMode selects how a backend server's load report relates to its actual load.
type ReportMode uint8

// Report modes.
const (
	// ReportTrue reports the actual load.
	ReportTrue ReportMode = iota
	// ReportFrozen repeats the load at the first report after the mode was set.
	ReportFrozen
	// ReportZero reports an idle server.
	ReportZero
	// ReportInverted reports busy slots as free and free slots as busy.
	ReportInverted
	// ReportDown answers with an error instead of a report.
	ReportDown
)

// Report is a backend server's load report.
type Report struct {
	Slots int `json:"slots"`
	// Busy is the number of slots in use.
	Busy  int `json:"busy"`
	Flows int `json:"flows"`
}

// StartReport serves the load report on an ephemeral loopback port until the context
// ends, and returns its URL. Call it after Start.
func (s *BackendServer) StartReport(ctx context.Context) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.connections.Add(1)
	go func() {
		defer s.connections.Done()
		_ = server.Serve(listener)
	}()
	return "http://" + listener.Addr().String(), nil
}

// ServeHTTP serves the load report.
func (s *BackendServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	report, ok := s.report()
	if !ok {
		http.Error(w, "load report unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// report returns the load report according to the mode. It reports false if there is
// none.
func (s *BackendServer) report() (Report, bool) {
	actual := Report{Slots: s.Slots, Busy: len(s.slots), Flows: s.Flows()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behavior.ReportMode != ReportFrozen {
		s.frozenReport = nil
	}
	switch s.behavior.ReportMode {
	case ReportDown:
		return Report{}, false
	case ReportZero:
		return Report{Slots: s.Slots}, true
	case ReportInverted:
		actual.Busy = actual.Slots - actual.Busy
	case ReportFrozen:
		if s.frozenReport == nil {
			s.frozenReport = &actual
		}
		return *s.frozenReport, true
	}
	return actual, true
}
