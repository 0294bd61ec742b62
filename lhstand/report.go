package lhstand

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// ReportMode is how a backend server's load report relates to the truth.
type ReportMode uint8

// The modes of a report.
const (
	ReportTrue ReportMode = iota
	// ReportFrozen repeats what was true when the mode was set or first asked for.
	ReportFrozen
	// ReportZero says that the server is idle.
	ReportZero
	// ReportInverted says that busy slots are free and free ones busy.
	ReportInverted
	// ReportDown gives no report.
	ReportDown
)

// Report is a backend server's load report.
type Report struct {
	Slots int `json:"slots"`
	// Busy is how many slots carry out a request.
	Busy  int `json:"busy"`
	Flows int `json:"flows"`
}

// StartReport serves the load report on an ephemeral port of loopback until the
// context ends, and returns its URL. Call it after Start.
func (s *BackendServer) StartReport(ctx context.Context) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = server.Serve(listener)
	}()
	return "http://" + listener.Addr().String(), nil
}

// ServeHTTP answers with the load report.
func (s *BackendServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	report, ok := s.report()
	if !ok {
		http.Error(w, "no report", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// report returns what the server says of its load; it is false when it says
// nothing.
func (s *BackendServer) report() (Report, bool) {
	truth := Report{Slots: s.Slots, Busy: len(s.slots), Flows: s.Flows()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behavior.Report != ReportFrozen {
		s.frozen = nil
	}
	switch s.behavior.Report {
	case ReportDown:
		return Report{}, false
	case ReportZero:
		return Report{Slots: s.Slots}, true
	case ReportInverted:
		truth.Busy = truth.Slots - truth.Busy
	case ReportFrozen:
		if s.frozen == nil {
			s.frozen = &truth
		}
		return *s.frozen, true
	}
	return truth, true
}
