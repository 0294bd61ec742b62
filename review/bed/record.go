package main

import (
	"bufio"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes the record of a run and checks the rules that concern flows.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
	// violations counts the violations.
	violations int
	// syns holds the times at which the copies of SYNs were sent, by their flow.
	syns map[synKey]synTimes
	// holder holds the endpoint at which a flow is open.
	holder map[synKey]*endpoint
	// resets holds which endpoint has reset a flow.
	resets map[flowKey]*endpoint
	runs   map[string]int
	counts map[string]int
}

type synKey struct {
	flowKey
	isn uint32
}

// synTimes holds when each copy of a SYN was sent.
type synTimes [3]time.Time

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{
		out: bufio.NewWriter(file), file: file, began: time.Now(), syns: make(map[synKey]synTimes), holder: make(map[synKey]*endpoint),
		resets: make(map[flowKey]*endpoint), runs: make(map[string]int), counts: make(map[string]int),
	}, nil
}

// line writes a line. The lock must be held.
func (r *recorder) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate(format, args...)
}

// violate records a violation. The lock must be held.
func (r *recorder) violate(format string, args ...any) {
	r.violations++
	r.line("RULE BROKEN "+format, args...)
	fmt.Printf(format+"\n", args...)
}

// synLeaves records that a copy of a SYN is sent to a VM.
func (r *recorder) synLeaves(f *flow, n int, v *vm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := synKey{flowKey{f.own, f.service}, f.isn}
	times := r.syns[key]
	times[n] = time.Now()
	r.syns[key] = times
	r.counts["SYNs sent"]++
	if n > 0 {
		r.line("flow %v copy %d of the SYN to %s", f.own, n, v.name)
	}
}

// synSent returns when a SYN that has arrived was sent.
func (r *recorder) synSent(p *packet) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.syns[synKey{flowKey{p.src, p.dst}, p.seq}][min(p.ack, 2)]
}

// opened records that an endpoint has the end of a flow's handshake.
func (r *recorder) opened(e *endpoint, key flowKey, isn uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holder[synKey{key, isn}] = e
	r.counts["flows opened"]++
}

func (r *recorder) resetSent(e *endpoint, p *packet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resets[flowKey{p.src, p.dst}] = e
	r.line("endpoint %s resets flow %v, which it does not hold, after a packet with echo %08x", e.id, p.src, p.echo)
}

func (r *recorder) sent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["requests sent"]++
	r.line("request %s sent", id)
}

func (r *recorder) ran(e *endpoint, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.counts["requests run"]++
	r.line("request %s runs at %s", id, e.id)
	if r.runs[id] > 1 {
		r.violate("request %s has run %d times", id, r.runs[id])
	}
}

func (r *recorder) answered(id, answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts["requests answered"]++
	r.line("request %s answered: %s", id, answer)
}

// flowEnded records the end of a flow and checks rule FLOW, part (a): the reset of an open flow
// by another than its endpoint.
func (r *recorder) flowEnded(f *flow, name string, requests int, err error) {
	touched := f.took != nil && f.took.inTouch()
	key := synKey{flowKey{f.own, f.service}, f.isn}
	// Endpoints call the recorder with their lock held.
	r.mu.Lock()
	holder := r.holder[key]
	r.mu.Unlock()
	disturbed := holder != nil && holder.disturbed(r.began)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.syns, key)
	delete(r.holder, key)
	switch {
	case err == nil:
		r.counts["flows finished"]++
		return
	case errors.Is(err, errNotOpened):
		r.counts["flows not opened"]++
	case errors.Is(err, errBudget):
		r.counts["requests without an answer"]++
	case errors.Is(err, errReset):
		r.counts["flows reset"]++
	}
	r.line("flow %s (%v) ends after %d requests: %v", name, f.own, requests, err)
	if !errors.Is(err, errReset) || holder == nil || f.resetBy == holder.address() {
		return
	}
	by := f.resetBy.String()
	if e := r.resets[key.flowKey]; e != nil && e.address() == f.resetBy {
		by = "endpoint " + e.id
	}
	if !touched || disturbed || time.Since(f.openedAt) > flowLifetime {
		r.line("flow %s is open at %s and was reset by %s (excused)", name, holder.id, by)
		return
	}
	r.violate("FLOW: flow %s (%v), open at %s since %.1f s, was reset by %s; its last packet went through %s, in touch",
		name, f.own, holder.id, f.openedAt.Sub(r.began).Seconds(), by, f.took.name)
}

// close writes the counts and ends the record.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for _, name := range []string{
		"requests sent", "requests run", "requests answered", "requests without an answer",
		"SYNs sent", "flows opened", "flows finished", "flows not opened", "flows reset",
	} {
		parts = append(parts, fmt.Sprintf("%s: %d", name, r.counts[name]))
	}
	r.line("%s", strings.Join(parts, ", "))
	r.line("violations: %d", r.violations)
	fmt.Println(strings.Join(parts, ", "))
	_ = r.out.Flush()
	_ = r.file.Close()
}

// addressOf returns the address with a port.
func addressOf(a netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(a, port) }
