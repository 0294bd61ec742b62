package lhentry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// reportInterval is the time between two calls for a load report, whatever the
	// number of servers, so that all calls together stay a small part of the control
	// traffic that a VM may cause.
	reportInterval = 250 * time.Millisecond
	// reportPause is the least time between two calls to one server.
	reportPause = time.Second
	// reportTimeout bounds a call. Calls that run into it must not hold up others,
	// which is what several workers are for.
	reportTimeout = 500 * time.Millisecond
	reportWorkers = 2
	// reportSize is the size of the largest report that is read, in bytes.
	reportSize = 1 << 10
	// reportNearer is how many times a report's age counts in the VM's own data
	// centre.
	reportNearer = 2
)

// reports asks backend servers for their load. What they say is a hint for servers
// that no flow shows anything of; lhwork weighs it.
type reports struct {
	client http.Client

	mu sync.Mutex
	// asked is when each server was last asked, by number. It holds none that is
	// declared no more.
	asked map[uint32]time.Duration

	// calls and failures only ever grow.
	calls, failures atomic.Uint64
}

// loadReport is the part of a backend server's report that is used.
type loadReport struct {
	Slots float64 `json:"slots"`
	Busy  float64 `json:"busy"`
}

// newReportClient returns a client that keeps a connection to each server, follows
// no redirection and uses no proxy.
func newReportClient() http.Client {
	return http.Client{
		Timeout:       reportTimeout,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// askReports asks one server after the other until the context ends.
func (e *Entry) askReports(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	ended := make(chan struct{}, reportWorkers)
	for range reportWorkers {
		go func() {
			e.askInTurn(ctx, ticker.C)
			ended <- struct{}{}
		}()
	}
	for range reportWorkers {
		<-ended
	}
	e.reports.client.CloseIdleConnections()
	return nil
}

// askInTurn makes a call at each tick.
func (e *Entry) askInTurn(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		server, ok := e.reports.next(e.now(), e.settings.DataCentre, e.table.Load())
		if !ok {
			continue
		}
		if load, ok := e.reports.ask(ctx, server.Report()); ok {
			e.work.Report(e.now(), server.Number(), load)
		}
	}
}

// next returns the server to ask: the one that was never asked or whose last call
// is the longest ago, where time counts more for servers nearby. It is false where
// none is due.
func (r *reports) next(now time.Duration, home string, table *lhplace.Table) (*lhplace.Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *lhplace.Server
	var longest time.Duration
	asked := make(map[uint32]time.Duration, len(r.asked))
	for _, service := range table.Services() {
		for _, s := range service.Servers() {
			if s.Report() == "" {
				continue
			}
			last, ok := r.asked[s.Number()]
			if ok {
				asked[s.Number()] = last
			} else {
				last = now - neverAsked
			}
			if now-last < reportPause {
				continue
			}
			if age := weighedAge(now-last, s.DataCentre() == home); age > longest {
				best, longest = s, age
			}
		}
	}
	r.asked = asked
	if best == nil {
		return nil, false
	}
	r.asked[best.Number()] = now
	return best, true
}

// neverAsked is the age of a report that was never asked for.
const neverAsked = 24 * time.Hour

// weighedAge returns the age by which servers are ordered.
func weighedAge(age time.Duration, near bool) time.Duration {
	if near {
		return reportNearer * age
	}
	return age
}

// ask returns the load that a server reports, from 0 to 1. A call without a usable
// answer counts as a failure.
func (r *reports) ask(ctx context.Context, url string) (load float64, ok bool) {
	r.calls.Add(1)
	report, err := r.fetch(ctx, url)
	if err != nil || report.Slots <= 0 || report.Busy < 0 {
		r.failures.Add(1)
		return 0, false
	}
	return min(report.Busy/report.Slots, 1), true
}

func (r *reports) fetch(ctx context.Context, url string) (loadReport, error) {
	var report loadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return report, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		// Read to its end, the connection serves the next call.
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, reportSize))
		return report, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, reportSize))
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(body, &report)
}
