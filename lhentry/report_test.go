package lhentry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// reportTable returns a table of servers with load reports, local servers first.
func reportTable(local, remote int) *lhplace.Table {
	cfg := &lhconf.Config{
		Revision: 1,
		Services: []lhconf.Service{{Name: "cutdesk", Address: benchService, Proto: lhflow.TCP}},
	}
	for n := range local + remote {
		dc := "local"
		if n >= local {
			dc = "remote"
		}
		cfg.Servers = append(cfg.Servers, lhconf.BackendServer{
			Number: uint32(n + 1), Name: fmt.Sprint("s", n+1), Service: "cutdesk", DataCentre: dc, Report: "http://192.0.2.1/",
		})
	}
	return lhplace.NewTable(cfg)
}

// TestReportOrder checks that local servers are polled first, that each server is polled
// no more often than reportServerInterval, and that the longest interval between two
// polls is bounded by the number of servers.
func TestReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local, remote := rapid.IntRange(0, 12).Draw(t, "local"), rapid.IntRange(0, 12).Draw(t, "remote")
		table := reportTable(local, remote)
		var r reportPoller
		last := make(map[uint32]time.Duration)
		maxInterval := reportServerInterval + time.Duration(localAgeFactor*(local+remote)+1)*reportInterval
		calls := 0
		for now := reportInterval; now < time.Minute; now += reportInterval {
			s, ok := r.nextServer(now, "local", table)
			if !ok {
				continue
			}
			calls++
			if calls <= local {
				assert.Equal(t, s.DataCentre(), "local")
			}
			if before, polled := last[s.Number()]; polled {
				assert.Assert(t, now-before >= reportServerInterval)
				assert.Assert(t, now-before <= maxInterval, "%v", now-before)
			}
			last[s.Number()] = now
		}
		assert.Equal(t, len(last), local+remote)
		assert.Equal(t, len(r.lastCalls), local+remote)
		_, _ = r.nextServer(time.Hour, "local", reportTable(0, 0))
		assert.Equal(t, len(r.lastCalls), 0)
	})
}

func TestFetchLoad(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		load   float64
		ok     bool
	}{
		{"idle", http.StatusOK, `{"slots":2,"busy":0,"flows":9}`, 0, true},
		{"half busy", http.StatusOK, `{"slots":2,"busy":1}`, 0.5, true},
		{"busy exceeds slots", http.StatusOK, `{"slots":2,"busy":7}`, 1, true},
		{"negative", http.StatusOK, `{"slots":2,"busy":-1}`, 0, false},
		{"no slots", http.StatusOK, `{"busy":1}`, 0, false},
		{"not JSON", http.StatusOK, `idle`, 0, false},
		{"too large", http.StatusOK, fmt.Sprintf(`{"slots":2,"busy":0,"name":"%2000d"}`, 0), 0, false},
		{"refused", http.StatusServiceUnavailable, `{"slots":2,"busy":1}`, 0, false},
		{"redirected", http.StatusFound, `{"slots":2,"busy":1}`, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			r := reportPoller{client: newReportClient()}
			load, ok := r.fetchLoad(context.Background(), server.URL)
			assert.Equal(t, load, c.load)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, r.calls.Load(), uint64(1))
			assert.Equal(t, r.failures.Load() == 0, c.ok)
		})
	}
	r := reportPoller{client: newReportClient()}
	_, ok := r.fetchLoad(context.Background(), "http://127.0.0.1:1/")
	assert.Assert(t, !ok)
}
