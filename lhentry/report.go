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
	// reportInterval is the time between two calls for a load report. It does not depend
	// on the number of servers, so that the calls stay a small part of the VM's control
	// traffic.
	reportInterval = 250 * time.Millisecond
	// reportServerInterval is the minimum time between two calls to the same server.
	reportServerInterval = time.Second
	// reportTimeout limits a call. Several workers make the calls so that one that times
	// out does not delay the others.
	reportTimeout = 500 * time.Millisecond
	reportWorkers = 2
	// maxReportBytes is the maximum size of a report that is read, in bytes.
	maxReportBytes = 1 << 10
	// localAgeFactor is the weight of a report's age in the VM's own data centre.
	localAgeFactor = 2
)

// reportPoller polls backend servers for load reports. lhwork uses a report as a hint for
// servers whose load is not known from flows.
type reportPoller struct {
	client http.Client

	mu sync.Mutex
	// lastCalls is when each declared server was last polled, by number.
	lastCalls map[uint32]time.Duration

	// calls and failures never decrease.
	calls, failures atomic.Uint64
}

// loadReport contains the fields of a backend server's report that are used.
type loadReport struct {
	Slots float64 `json:"slots"`
	Busy  float64 `json:"busy"`
}

// newReportClient returns a client that keeps one idle connection per server, does not
// follow redirects and uses no proxy.
func newReportClient() http.Client {
	return http.Client{
		Timeout:       reportTimeout,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// pollReports polls servers one at a time per worker until ctx is done.
func (e *Entry) pollReports(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	ended := make(chan struct{}, reportWorkers)
	for range reportWorkers {
		go func() {
			e.runReportWorker(ctx, ticker.C)
			ended <- struct{}{}
		}()
	}
	for range reportWorkers {
		<-ended
	}
	e.reports.client.CloseIdleConnections()
	return nil
}

// runReportWorker polls one server at each tick.
func (e *Entry) runReportWorker(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		server, ok := e.reports.nextServer(e.now(), e.settings.DataCentre, e.table.Load())
		if !ok {
			continue
		}
		if load, ok := e.reports.fetchLoad(ctx, server.Report()); ok {
			e.work.Report(e.now(), server.Number(), load)
		}
	}
}

// nextServer returns the server to poll: one that was never polled, or the one with the
// oldest report, weighted so that servers in the local data centre are polled more often.
// It returns false if no server is due.
func (r *reportPoller) nextServer(now time.Duration, localDC string, table *lhplace.Table) (*lhplace.Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *lhplace.Server
	var longest time.Duration
	lastCalls := make(map[uint32]time.Duration, len(r.lastCalls))
	for _, service := range table.Services() {
		for _, s := range service.Servers() {
			if s.Report() == "" {
				continue
			}
			last, ok := r.lastCalls[s.Number()]
			if ok {
				lastCalls[s.Number()] = last
			} else {
				last = now - initialAge
			}
			if now-last < reportServerInterval {
				continue
			}
			if age := weightedAge(now-last, s.DataCentre() == localDC); age > longest {
				best, longest = s, age
			}
		}
	}
	r.lastCalls = lastCalls
	if best == nil {
		return nil, false
	}
	r.lastCalls[best.Number()] = now
	return best, true
}

// initialAge is the age assumed for a server that was never polled.
const initialAge = 24 * time.Hour

// weightedAge returns the age used to order servers.
func weightedAge(age time.Duration, local bool) time.Duration {
	if local {
		return localAgeFactor * age
	}
	return age
}

// fetchLoad returns the load that a server reports, from 0 to 1. A call without a valid
// response counts as a failure.
func (r *reportPoller) fetchLoad(ctx context.Context, url string) (load float64, ok bool) {
	r.calls.Add(1)
	report, err := r.fetchReport(ctx, url)
	if err != nil || report.Slots <= 0 || report.Busy < 0 {
		r.failures.Add(1)
		return 0, false
	}
	return min(report.Busy/report.Slots, 1), true
}

func (r *reportPoller) fetchReport(ctx context.Context, url string) (loadReport, error) {
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
		// Read the body to the end so that the connection can be reused.
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxReportBytes))
		return report, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(body, &report)
}
