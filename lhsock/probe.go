package lhsock

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// Probe is how a host is asked whether it runs. The zero Probe asks not at all.
type Probe struct {
	// Timeout is the timeout of each attempt to connect, and Attempts their number: a packet
	// may be lost.
	Timeout  time.Duration
	Attempts int
}

// ProbeResult is what a probe has found.
type ProbeResult uint8

// The results of a probe.
const (
	// ProbeSilent means that the host has answered no attempt.
	ProbeSilent ProbeResult = iota
	// ProbeConnected means that a process accepts connections.
	ProbeConnected
	// ProbeRefused means that the host runs and no process accepts connections.
	ProbeRefused
	// ProbeUnknown means that the probe was cancelled, or took longer than its attempts, so
	// that an answer may have been missed.
	ProbeUnknown
)

// String returns the result in logs.
func (r ProbeResult) String() string {
	names := [...]string{"silent", "connected", "refused", "unknown"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Do connects to a TCP address and closes the connection at once.
func (p Probe) Do(ctx context.Context, to netip.AddrPort) ProbeResult {
	began := time.Now()
	dialer := net.Dialer{Timeout: p.Timeout}
	for range p.Attempts {
		conn, err := dialer.DialContext(ctx, "tcp", to.String())
		switch {
		case err == nil:
			_ = conn.Close()
			return ProbeConnected
		case errors.Is(err, syscall.ECONNREFUSED):
			return ProbeRefused
		}
	}
	if ctx.Err() != nil || time.Since(began) > time.Duration(p.Attempts+1)*p.Timeout {
		return ProbeUnknown
	}
	return ProbeSilent
}
